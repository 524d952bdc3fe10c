package idempotency

import (
	"testing"
	"time"

	"hazelwing/balancer"
)

var testClasses = []balancer.Class{
	{
		Name:   "book",
		Effect: balancer.NonIdempotent,
	},
	{
		Name:              "pay",
		Effect:            balancer.Keyed,
		IdempotencyScope:  balancer.ScopeZone,
		IdempotencyWindow: 6 * time.Second,
	},
	{
		Name:              "cell",
		Effect:            balancer.Keyed,
		IdempotencyScope:  balancer.ScopeCell,
		IdempotencyWindow: 6 * time.Second,
	},
	{
		Name:              "any",
		Effect:            balancer.Keyed,
		IdempotencyWindow: 6 * time.Second,
	},
}

// machine simulates a machine with clocks that the test sets, a disk that holds the stored records, and the program,
// which can be restarted.
type machine struct {
	tracker    *Tracker
	clock      Clock
	reading    Reading
	disk       map[Fingerprint][]byte
	maxEntries int
	// maxUnstored is Config.MaxUnstored.
	maxUnstored int
	// clockLost is whether the stored state of the clock cannot be decoded at the next start.
	clockLost bool
}

func newMachine(maxEntries int) *machine {
	return &machine{
		disk:       map[Fingerprint][]byte{},
		maxEntries: maxEntries,
		reading: Reading{
			BootID: "x",
			Uptime: time.Hour,
			Wall:   time.UnixMilli(1_800_000_000_000),
		},
	}
}

// start starts the program, which restores the records from the disk.
func (m *machine) start(t *testing.T) {
	t.Helper()
	m.tracker = New(Config{
		Classes:     testClasses,
		Retention:   time.Minute,
		MaxEntries:  m.maxEntries,
		MaxUnstored: m.maxUnstored,
	})
	var latest Instant
	records := map[Fingerprint]Record{}
	for fp, data := range m.disk {
		record, err := ParseRecord(data)
		if err != nil {
			t.Fatalf("decoding the record of fingerprint %v: %v", fp, err)
		}
		records[fp] = record
		latest = latest.Max(record.Latest())
	}
	stored, err := ParseClockState(m.clock.Append(nil))
	if err != nil || stored != m.clock.ClockState {
		t.Fatalf("clock state is decoded as %+v, error %v, want %+v", stored, err, m.clock.ClockState)
	}
	if m.clockLost {
		stored = ClockState{}
	}
	m.clock = ResumeClock(stored, latest, m.reading)
	for fp, record := range records {
		m.tracker.Restore(m.now(), fp, record)
	}
}

func (m *machine) now() Instant { return m.clock.At(m.reading.Uptime) }

// advance moves the boot clock and wall time forward.
func (m *machine) advance(d time.Duration) {
	m.reading.Uptime += d
	m.reading.Wall = m.reading.Wall.Add(d)
}

// reboot restarts the machine. It does not start the program.
func (m *machine) reboot() {
	m.reading.BootID += "x"
	m.reading.Uptime = time.Second
}

// write stores a record on the disk.
func (m *machine) write(fp Fingerprint, record *Record) { m.disk[fp] = record.Append(nil) }

// end ends an attempt and applies the resulting update to the disk.
func (m *machine) end(a *Attempt, mayHaveRun, wasAnswered bool) Update {
	update := m.tracker.EndAttempt(a, mayHaveRun, wasAnswered)
	switch update.Kind {
	case PutRecord:
		m.write(a.entry.fingerprint, &update.Record)
	case DeleteRecord:
		delete(m.disk, a.entry.fingerprint)
	}
	return update
}
