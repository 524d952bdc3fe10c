package main

import (
	"bytes"
	"strings"
	"testing"
)

// Malformed input ends the adapter with status 1 and one line that names the input line. Well-formed input ends it with
// status 0, also with verbs and fields that are not known.
func TestExitStatus(t *testing.T) {
	for _, test := range []struct {
		name       string
		input      string
		wantStderr string // a part of it; empty: it stays empty, and the status is 0
	}{
		{
			name:  "unknown verb and fields",
			input: `{"TsMs":1,"in":[{"verb":"News","I":9,"x":1}],"more":2}` + "\n",
		},
		{
			name: "empty input",
		},
		{
			name:       "truncated line",
			input:      `{"TsMs":1,"in":[]}` + "\n{",
			wantStderr: "line 2",
		},
		{
			name:       "start without parameters",
			input:      `{"TsMs":1,"in":[{"verb":"PowerOn","I":0}]}` + "\n",
			wantStderr: "event 0 (PowerOn): no Env",
		},
		{
			name:       "instance that was not started",
			input:      `{"TsMs":1,"in":[{"verb":"Hangup","I":0,"Id":"aa"}]}` + "\n",
			wantStderr: "event 0 (Hangup): instance 0 was never started",
		},
		{
			name:       "field of the wrong type",
			input:      `{"TsMs":1,"in":[{"verb":"Order","I":0,"Id":"aa","Load":1}]}`,
			wantStderr: "event 0",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := run(strings.NewReader(test.input), &stdout, &stderr)
			if (status != 0) != (test.wantStderr != "") ||
				!strings.Contains(stderr.String(), test.wantStderr) ||
				strings.Count(stderr.String(), "\n") != status {
				t.Errorf("%s: status %d, %q; want %q", test.input, status, stderr.String(), test.wantStderr)
			}
		})
	}
}
