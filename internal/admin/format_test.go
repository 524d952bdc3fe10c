package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"hazelwing/internal/testutil"
)

// An answer is indented JSON and a newline; without a name it is the names of the parts.
func TestAdminAnswerFormatIsStable(t *testing.T) {
	server := httptest.NewServer(Sections{
		"fleet":  func() any { return map[string]any{"name": "<m1>", "live": 2} },
		"bounds": func() any { return []int{1, 2} },
	})
	defer server.Close()
	for path, file := range map[string]string{"/": "names.json", "/fleet": "part.json", "/none": "missing.txt"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		testutil.Golden(t, file, append([]byte(response.Status+"\n"+response.Header.Get("Content-Type")+"\n"), body...))
	}
}
