package emulator

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Generated traffic is the same for the same seed and is read as it was written; an error names the line that is not
// valid.
func TestTraffic(t *testing.T) {
	generated := Generate(7, 200, 2*time.Second)
	repeated := Generate(7, 200, 2*time.Second)
	var first, second bytes.Buffer
	if generated.Write(&first) != nil || repeated.Write(&second) != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatal("the same seed gives different traffic")
	}
	text := first.String()
	read, err := ReadTraffic(&first)
	if err != nil || len(read.Requests) != len(generated.Requests) || read.Requests[5] != generated.Requests[5] ||
		len(read.Classes) != 4 {
		t.Fatalf("%d requests of %d, %v", len(read.Requests), len(generated.Requests), err)
	}
	if count := len(generated.Requests); count < 300 || count > 500 {
		t.Errorf("%d requests in 2 s at 200 a second", count)
	}
	header, _, _ := strings.Cut(text, "\n")
	const coachMapAt9 = "\n{\"class\":\"coach-map\",\"at_ms\":9}\n"
	for _, c := range []struct {
		text string
		want string
	}{
		{"", "line 1: no head"},
		{"{", "line 1"},
		{strings.Replace(header, `"version":1`, `"version":2`, 1), "version 2"},
		{strings.Replace(header, "unsafe", "odd", 1), `"confirm-booking"`},
		{strings.Replace(header, `"aim_ms":80`, `"aim_ms":0`, 1), `"seat-search"`},
		{header + "\n{\"class\":\"other\"}", `line 2: class "other"`},
		{header + "\n{\"class\":\"coach-map\",\"at_ms\":-1}", "line 2: at_ms"},
		{header + coachMapAt9 + "{\"class\":\"coach-map\",\"at_ms\":8}", "line 3: at_ms 8"},
		{header + coachMapAt9 + "half", "line 3"},
		{header + coachMapAt9 + strings.Repeat("x", maxLineBytes+1) + "\n", "line 3"},
	} {
		if _, err := ReadTraffic(strings.NewReader(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60q: %v, want %q", c.text, err, c.want)
		}
	}
}
