package origin

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hazelwing/internal/controlplane"
)

// stateMachine is the state that results from the entries of the log: the latest snapshot, and the outcomes of the last
// changes. It is the same on all origins that have applied the same entries.
type stateMachine struct {
	Version  uint64          `cbor:"1,keyasint"`
	Hash     string          `cbor:"2,keyasint"`
	Text     []byte          `cbor:"3,keyasint"`
	Outcomes []changeOutcome `cbor:"4,keyasint"` // oldest first, at most MaxOutcomes
}

type changeOutcome struct {
	ID      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // version of the change; 0 if it was in conflict with an earlier one
	Hash    string `cbor:"3,keyasint"` // hash of the change's text
}

// logEntry is a proposed change, the content of an entry of the log.
type logEntry struct {
	ID          string `cbor:"1,keyasint"`
	BaseVersion uint64 `cbor:"2,keyasint"`
	Text        []byte `cbor:"3,keyasint"`
}

// apply applies an entry. It returns the outcome, and whether the snapshot has changed. An entry whose ID is
// among Outcomes has no effect, since the client, or an origin on its behalf, may have sent the change twice.
func (m *stateMachine) apply(c *logEntry) (outcome changeOutcome, changed bool) {
	if outcome, ok := m.find(c.ID); ok {
		return outcome, false
	}
	outcome = changeOutcome{ID: c.ID, Hash: controlplane.HashText(c.Text)}
	if c.BaseVersion == m.Version { // of two changes with the same base version, the first in the log wins
		m.Version++
		m.Hash = outcome.Hash
		m.Text = c.Text
		outcome.Version = m.Version
	}
	m.Outcomes = append(m.Outcomes, outcome)
	if len(m.Outcomes) > MaxOutcomes {
		m.Outcomes = slices.Delete(m.Outcomes, 0, len(m.Outcomes)-MaxOutcomes)
	}
	return outcome, outcome.Version > 0
}

// find returns the outcome of the change with the given ID; ok is false if it is not among Outcomes.
func (m *stateMachine) find(id string) (outcome changeOutcome, ok bool) {
	i := slices.IndexFunc(m.Outcomes, func(o changeOutcome) bool { return o.ID == id })
	if i < 0 {
		return changeOutcome{}, false
	}
	return m.Outcomes[i], true
}

// remembersSuccessorOf reports whether the change that became the version after the given one is certainly among
// Outcomes, if there is one.
func (m *stateMachine) remembersSuccessorOf(version uint64) bool {
	return len(m.Outcomes) < MaxOutcomes ||
		slices.ContainsFunc(m.Outcomes, func(o changeOutcome) bool { return o.Version == version+1 })
}

func (m *stateMachine) revision(epoch uint64) controlplane.Revision {
	if m.Version == 0 {
		return controlplane.Revision{}
	}
	return controlplane.Revision{Epoch: epoch, Version: m.Version, Hash: m.Hash}
}

func (m *stateMachine) marshal() []byte { return encode(m) }

func decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// encode encodes a value of one of the package's own types, for which encoding cannot fail.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
