package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"hazelwing/internal/testutil"
)

// A response is indented JSON and a newline. Without a name in the path it lists the names of the sections.
func TestAdminAnswerFormatIsStable(t *testing.T) {
	server := httptest.NewServer(Sections{
		"fleet":  func() any { return map[string]any{"name": "<m1>", "live": 2} },
		"bounds": func() any { return []int{1, 2} },
	})
	defer server.Close()
	for _, test := range []struct{ path, golden string }{
		{"/", "names.json"},
		{"/fleet", "part.json"},
		{"/none", "missing.txt"},
	} {
		t.Run(test.golden, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+test.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			header := response.Status + "\n" + response.Header.Get("Content-Type") + "\n"
			testutil.Golden(t, test.golden, append([]byte(header), body...))
		})
	}
}
