package main

import (
	"bytes"
	"strings"
	"testing"
)

// For malformed input, the adapter exits with status 1 and prints one line that names the input line. For well-formed
// input, it exits with status 0, even if verbs and fields are unknown.
func TestExitStatus(t *testing.T) {
	for _, test := range []struct {
		name       string
		input      string
		wantStderr string // text that stderr must contain; if empty, stderr is empty and the status is 0
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
			wantStderr: "event 0 (PowerOn): field Env is missing",
		},
		{
			name:       "instance that was not started",
			input:      `{"TsMs":1,"in":[{"verb":"Hangup","I":0,"Id":"aa"}]}` + "\n",
			wantStderr: "event 0 (Hangup): instance 0 is not running",
		},
		{
			name:       "field of the wrong type",
			input:      `{"TsMs":1,"in":[{"verb":"Order","I":0,"Id":"aa","Load":1}]}`,
			wantStderr: "cannot decode event 0",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := run(strings.NewReader(test.input), &stdout, &stderr)
			if (status != 0) != (test.wantStderr != "") ||
				!strings.Contains(stderr.String(), test.wantStderr) ||
				strings.Count(stderr.String(), "\n") != status {
				t.Errorf("%s: status %d, stderr %q; want status 1 and one line that contains %q "+
					"(if empty: status 0 and no output)", test.input, status, stderr.String(), test.wantStderr)
			}
		})
	}
}
