package emulator

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// readLines returns the first lines of a response of discovery.
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

// A watch gets the complete list first and then each change, and one that resumes gets the changes since its version.
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
		t.Errorf("the list: %s", got)
	}
	if got := readLines(t, d, "?watch=1&from=0", 1); !strings.Contains(got, `"whole":true`) {
		t.Errorf("a watch from the start: %s", got)
	}
	if got := readLines(t, d, "?watch=1&from=1", 2); strings.Contains(got, `"whole":true`) ||
		strings.Index(got, `"b"`) > strings.Index(got, "DELETED") {
		t.Errorf("a watch from 1: %s", got)
	}
	if got := readLines(t, d, "?watch=1&from=3", 1); got != "\n" {
		t.Errorf("a watch without changes: %q", got)
	}
}
