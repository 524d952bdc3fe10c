package main

import (
	"bytes"
	"strings"
	"testing"
)

// Malformed input ends the adapter with status 1 and one line that names the input line; sound input ends it with 0,
// also where verbs and fields are not known.
func TestExitStatus(t *testing.T) {
	for in, want := range map[string]string{
		`{"TsMs":1,"in":[{"verb":"News","I":9,"x":1}],"more":2}` + "\n": "",
		"":                           "",
		`{"TsMs":1,"in":[]}` + "\n{": "line 2",
		`{"TsMs":1,"in":[{"verb":"PowerOn","I":0}]}` + "\n":           "event 0 (PowerOn): no Env",
		`{"TsMs":1,"in":[{"verb":"Hangup","I":0,"Id":"aa"}]}` + "\n":  "event 0 (Hangup): instance 0 was never started",
		`{"TsMs":1,"in":[{"verb":"Order","I":0,"Id":"aa","Load":1}]}`: "event 0",
	} {
		var out, errs bytes.Buffer
		status := run(strings.NewReader(in), &out, &errs)
		if (status != 0) != (want != "") || !strings.Contains(errs.String(), want) || strings.Count(errs.String(), "\n") != status {
			t.Errorf("%s: status %d, %q; want %q", in, status, errs.String(), want)
		}
	}
}
