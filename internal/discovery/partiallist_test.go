package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a list that is lost to one partial DNS answer: the endpoints that only DNS lists were removed at once,
// whatever their number. Now at most MaxRemovalShare of the list is removed within a window, or one endpoint; a partial
// answer that is followed by a complete one removes no more; and an answer that stays is the list in the end.
func TestPartialAnswersRemoveOnlyAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.AdditionInterval = 0
		cfg.MaxRemovalShare = rapid.Float64Range(0.05, 1).Draw(t, "share")
		merger, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		size := rapid.IntRange(2, 40).Draw(t, "size")
		answer := func(n int) (endpoints []Endpoint) {
			for i := range n {
				endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)})
			}
			return endpoints
		}
		seq := int64(0)
		receive := func(now time.Duration, n int) {
			seq++
			merger.Apply(now, Update{Source: "dns", Seq: seq, Complete: true, Endpoints: answer(n)})
		}
		receive(0, size)
		partial := rapid.IntRange(1, size).Draw(t, "endpoints of the partial answer")
		lowest := size - max(1, int(cfg.MaxRemovalShare*float64(size)))
		for range rapid.IntRange(1, 5).Draw(t, "partial answers") {
			receive(time.Second, partial)
		}
		if n := len(merger.listed); n < max(lowest, partial) {
			t.Fatalf("a partial answer with %d of %d endpoints leaves %d, want at least %d", partial, size, n,
				max(lowest, partial))
		}
		if rapid.Bool().Draw(t, "complete again") {
			receive(2*time.Second, size)
			partial = size
		}
		now := 2 * time.Second
		for range size {
			now += cfg.RemovalWindow
			merger.Tick(now)
		}
		if n := len(merger.listed); n != partial {
			t.Fatalf("%d endpoints are listed after %d windows, want the %d of the answer that stays", n, size, partial)
		}
	})
}
