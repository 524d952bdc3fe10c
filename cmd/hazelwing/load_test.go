package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hazelwing/internal/load"
)

// Two targets get the same requests; what cannot be used is one line.
func TestLoadCommand(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	out, err := execute("load", s.URL, s.URL, "--rate", "200", "--length", "300ms", "--effect", "keyed", "--json")
	if err != nil && !strings.Contains(err.Error(), "too slow") { // a busy machine says so
		t.Fatal(err)
	}
	var list []load.Report
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list) != 2 || list[0].Kinds["served"] == 0 || list[0].Kinds["served"] != list[1].Kinds["served"] {
		t.Errorf("%v\n%s", err, out)
	}
	for _, args := range [][]string{
		{"load"},
		{"load", "127.0.0.1:80"},
		{"load", s.URL + "/path"},
		{"load", s.URL, "--rate", "0"},
		{"load", s.URL, "--effect", "odd"},
		{"load", s.URL, "--ramp", "0s-5"},
		{"load", s.URL, "--ramp", "5s:1,0s:2"},
		{"load", s.URL, "--deadline", "0s"},
		{"load", "grpc://x"},
		{"load", "grpc://x/S/M", "--message", "/absent"},
		{"load", s.URL, "--traffic", "/absent"},
	} {
		if _, err := execute(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", args, err)
		}
	}
}
