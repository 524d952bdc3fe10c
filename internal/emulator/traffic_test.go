package emulator

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// The same seed generates the same traffic, and traffic is read as it was written. The error for an invalid file names
// the line.
func TestTraffic(t *testing.T) {
	generated := Generate(7, 200, 2*time.Second)
	repeated := Generate(7, 200, 2*time.Second)
	var first, second bytes.Buffer
	if err := errors.Join(generated.Write(&first), repeated.Write(&second)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatal("two calls of Generate with the same seed gave different traffic; want the same")
	}
	text := first.String()
	read, err := ReadTraffic(&first)
	if err != nil {
		t.Fatalf("ReadTraffic returned the error %v; want none", err)
	}
	if !slices.Equal(read.Requests, generated.Requests) || len(read.Classes) != 4 {
		t.Fatalf("read %d requests and %d classes; want the %d requests that were written, and 4 classes",
			len(read.Requests), len(read.Classes), len(generated.Requests))
	}
	if count := len(generated.Requests); count < 300 || count > 500 {
		t.Errorf("generated %d requests in 2 s at 200 per second; want 300 to 500", count)
	}
	header, _, _ := strings.Cut(text, "\n")
	const coachMapAt9 = "\n{\"class\":\"coach-map\",\"at_ms\":9}\n"
	for _, c := range []struct {
		text string
		want string
	}{
		{"", "line 1: file is empty"},
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
			t.Errorf("file %.60q: error %v; want one that contains %q", c.text, err, c.want)
		}
	}
}
