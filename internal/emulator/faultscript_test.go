package emulator

import (
	"strings"
	"testing"
	"time"
)

// Faults are returned in order of time. The error for an invalid line names the line and the invalid word.
func TestReadScript(t *testing.T) {
	const script = `
# nothing
3s pause n2 400ms # so
2s slow n1 8 3s
4s drain n3
5s crash n4
6s restart n4
`
	faults, err := ReadScript(strings.NewReader(script))
	if err != nil || len(faults) != 5 {
		t.Fatalf("ReadScript returned %v, error %v; want five faults", faults, err)
	}
	if faults[0] != (Fault{At: 2 * time.Second, Verb: "slow", Node: "n1", Factor: 8, Duration: 3 * time.Second}) ||
		faults[1] != (Fault{At: 3 * time.Second, Verb: "pause", Node: "n2", Duration: 400 * time.Millisecond}) {
		t.Errorf("first faults are %+v; want slow n1 and pause n2", faults[:2])
	}
	for text, want := range map[string]string{
		"2s slow":          "line 1",
		"\nsoon crash n1":  "line 2: time \"soon\"",
		"-1s crash n1":     "\"-1s\" is negative",
		"2s explode n1":    "explode",
		"2s crash n1 now":  "crash takes 0",
		"2s slow n1 x 3s":  "\"x\"",
		"2s slow n1 .5 3s": "factor",
		"2s reset n1 2 3s": "share",
		"2s pause n1 0s":   "\"0s\"",
		"2s pause n1 long": "\"long\"",
	} {
		if _, err := ReadScript(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("script %q: error %v; want one that contains %q", text, err, want)
		}
	}
}
