package cluster

import (
	"cmp"
	"fmt"
)

// State is the state of a member.
type State uint8

// The states of a member. Within one incarnation, a state takes precedence over the states listed before it.
const (
	Alive   State = iota
	Suspect       // did not answer a probe, and may still refute the suspicion
	Dead          // did not refute the suspicion in time
	Left          // announced that it leaves; the final state of a process
	// Unknown is the state of a name before the first update about it.
	Unknown State = 255
)

// String returns the name of the state in lower case.
func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s to the state with the given name. It returns an error unless
// text is the name of Alive, Suspect, Dead or Left.
func (s *State) UnmarshalText(text []byte) error {
	for known := Alive; known <= Left; known++ {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return fmt.Errorf("unknown member state %q, want alive, suspect, dead or left", text)
}

// Incarnation orders the updates about one name: by generation, then by process,
// then by refutation counter.
type Incarnation struct {
	// Generation starts at 1. A process raises it above the generation of another process
	// with the same name that takes precedence, and above its own if others know it as
	// having left.
	Generation  uint64 `json:"life"`
	ProcessID   uint64 `json:"run"` // random ID of the process
	Refutations uint64 `json:"inc"` // counter, raised whenever the process refutes an update about itself
}

// SameProcess reports whether both incarnations belong to the same process and generation.
func (i Incarnation) SameProcess(other Incarnation) bool {
	return i.Generation == other.Generation && i.ProcessID == other.ProcessID
}

// Compare returns -1 if i is older than other, 0 if they are equal, and 1 if i is newer.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(
		cmp.Compare(i.Generation, other.Generation),
		cmp.Compare(i.ProcessID, other.ProcessID),
		cmp.Compare(i.Refutations, other.Refutations),
	)
}
