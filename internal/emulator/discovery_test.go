package emulator

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// readLines returns the first count lines of a response of the discovery service.
func readLines(t *testing.T, d *Discovery, query string, count int) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr()+"/discovery/hosts"+query, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var text []byte
	for b := make([]byte, 1); count > 0; {
		if _, err := io.ReadFull(resp.Body, b); err != nil {
			t.Fatal(err)
		}
		if text = append(text, b[0]); b[0] == '\n' {
			count--
		}
	}
	return string(text)
}

// A new watch receives the complete list first and then each change. A watch that resumes receives only the changes
// since its version.
func TestDiscovery(t *testing.T) {
	d, err := NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(Endpoint{Name: "a", Health: "SERVING"})
	d.Set(Endpoint{Name: "b", Health: "SERVING"})
	d.Set(Endpoint{Name: "a", Health: "DELETED"})
	if got := readLines(t, d, "", 1); !strings.Contains(got, `"seq":3,"whole":true`) || !strings.Contains(got, `"b"`) ||
		strings.Contains(got, `"a"`) {
		t.Errorf("list is %s; want the complete list of version 3 with b and without a", got)
	}
	if got := readLines(t, d, "?watch=1&from=0", 1); !strings.Contains(got, `"whole":true`) {
		t.Errorf("watch from version 0 began with %s; want the complete list", got)
	}
	if got := readLines(t, d, "?watch=1&from=1", 2); strings.Contains(got, `"whole":true`) ||
		strings.Index(got, `"b"`) > strings.Index(got, "DELETED") {
		t.Errorf("watch from version 1 sent %s; want the addition of b and then the deletion of a", got)
	}
	if got := readLines(t, d, "?watch=1&from=3", 1); got != "\n" {
		t.Errorf("watch without changes sent %q; want an empty line", got)
	}
}
