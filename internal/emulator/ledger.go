package emulator

import (
	"fmt"
	"sync"
	"time"
)

// Ledger keeps the count of what the rules are about, for a whole fleet.
type Ledger struct {
	Window time.Duration // for which the nodes of a zone drop repeats of a key
	Slack  time.Duration // how much longer than its limit a drain's grace holds on sockets

	mu       sync.Mutex
	runs     map[string]int // executions by request id
	keys     map[string]map[string]time.Time
	keyRuns  map[string]int // by idempotency key
	total    int
	arrivals int
	broken   []string
}

const (
	defaultWindow = 6 * time.Second
	defaultSlack  = 50 * time.Millisecond
	// mostBroken bounds the list of broken rules.
	mostBroken = 100
)

// NewLedger returns an empty one.
func NewLedger() *Ledger {
	return &Ledger{Window: defaultWindow, Slack: defaultSlack, runs: map[string]int{}, keys: map[string]map[string]time.Time{}, keyRuns: map[string]int{}}
}

// begin counts an execution that begins; false: it is the repeat of a key that the nodes of the zone remember, and is
// not executed. Both in one step: two nodes of a zone may begin at the same moment.
func (l *Ledger) begin(j Job, zone string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.keys[zone][j.Key]; j.Effect == Keyed && ok && now.Sub(at) < l.Window {
		return false
	}
	l.total++
	l.runs[j.ID]++
	if j.Effect != Safe && j.Key != "" {
		l.keyRuns[j.Key]++
	}
	switch {
	case j.Effect == Unsafe && l.runs[j.ID] > 1:
		l.breaks("%s %s ran %d times", j.Class, j.ID, l.runs[j.ID])
	case l.keyRuns[j.Key] > 1 && j.Effect != Safe:
		l.breaks("%s with key %s ran %d times", j.Class, j.Key, l.keyRuns[j.Key])
	}
	if j.Effect == Keyed {
		if l.keys[zone] == nil {
			l.keys[zone] = map[string]time.Time{}
		}
		l.keys[zone][j.Key] = now
	}
	return true
}

// arrived notes what reaches a node, and when its drain was told.
func (l *Ledger) arrived(n *Node, now, told time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	if late := now.Sub(told); !told.IsZero() && n.DrainGrace > 0 && late > n.DrainGrace+l.Slack {
		l.breaks("%s was sent to %v after its drain was told", n.Name, late.Round(time.Millisecond))
	}
}

// breaks notes a broken rule. The lock is held.
func (l *Ledger) breaks(format string, args ...any) {
	if len(l.broken) < mostBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// Break notes a rule that was seen broken elsewhere.
func (l *Ledger) Break(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, args...)
}

// Broken lists the rules that were broken.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Executions is how many began in all, and of one request.
func (l *Ledger) Executions(id string) (total, ofID int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, l.runs[id]
}

// KeyRuns is how many executions with an idempotency key began.
func (l *Ledger) KeyRuns(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keyRuns[key]
}

// Arrivals is how many jobs reached a node, whatever became of them.
func (l *Ledger) Arrivals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}
