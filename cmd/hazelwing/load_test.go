package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hazelwing/internal/load"
)

// Two targets get the same requests. The error for invalid arguments is one line.
func TestLoadCommand(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	out, err := execute("load", server.URL, server.URL,
		"--rate", "200", "--length", "300ms", "--effect", "keyed", "--json")
	if err != nil && !strings.Contains(err.Error(), "too slow") { // a busy machine may be too slow
		t.Fatal(err)
	}
	var reports []load.Report
	if err := json.Unmarshal([]byte(out), &reports); err != nil || len(reports) != 2 ||
		reports[0].Outcomes["served"] == 0 ||
		reports[0].Outcomes["served"] != reports[1].Outcomes["served"] {
		t.Errorf("load with two targets: JSON error %v, "+
			"want two reports with the same number of served requests:\n%s", err, out)
	}
	for _, args := range [][]string{
		{"load"},
		{"load", "127.0.0.1:80"},
		{"load", server.URL + "/path"},
		{"load", server.URL, "--rate", "0"},
		{"load", server.URL, "--effect", "odd"},
		{"load", server.URL, "--ramp", "0s-5"},
		{"load", server.URL, "--ramp", "5s:1,0s:2"},
		{"load", server.URL, "--deadline", "0s"},
		{"load", "grpc://x"},
		{"load", "grpc://x/S/M", "--message", "/absent"},
		{"load", server.URL, "--traffic", "/absent"},
	} {
		if _, err := execute(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want an error with a text of one line", args, err)
		}
	}
}
