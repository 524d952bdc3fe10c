package origin

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hazelwing/internal/controlplane"
)

// machine is what the log's entries make: the last snapshot, and what became of the last pushes. It is the same at each origin for
// the same log.
type machine struct {
	Version uint64   `cbor:"1,keyasint"`
	Hash    string   `cbor:"2,keyasint"`
	Text    []byte   `cbor:"3,keyasint"`
	Ended   []ending `cbor:"4,keyasint"` // oldest first, at most MaxOutcomes
}

// ending is what became of a push.
type ending struct {
	ID      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // that it got; 0: another change had come first
	Hash    string `cbor:"3,keyasint"` // of its text
}

// change is an entry of the log.
type change struct {
	ID    string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	Text  []byte `cbor:"3,keyasint"`
}

// apply takes an entry in, and says what became of it. A push that is there already is not taken again: its pusher, or an origin on
// its behalf, may have sent it twice.
func (m *machine) apply(c *change) (ending, bool) {
	if e, ok := m.find(c.ID); ok {
		return e, false
	}
	e := ending{ID: c.ID, Hash: controlplane.HashText(c.Text)}
	if c.After == m.Version { // guards against two pushes under one version: the log has one first
		m.Version++
		m.Hash, m.Text = e.Hash, c.Text
		e.Version = m.Version
	}
	m.Ended = append(m.Ended, e)
	if len(m.Ended) > MaxOutcomes {
		m.Ended = slices.Delete(m.Ended, 0, len(m.Ended)-MaxOutcomes)
	}
	return e, e.Version > 0
}

func (m *machine) find(id string) (ending, bool) {
	i := slices.IndexFunc(m.Ended, func(e ending) bool { return e.ID == id })
	if i < 0 {
		return ending{}, false
	}
	return m.Ended[i], true
}

func (m *machine) stamp(epoch uint64) controlplane.Revision {
	if m.Version == 0 {
		return controlplane.Revision{}
	}
	return controlplane.Revision{Epoch: epoch, Version: m.Version, Hash: m.Hash}
}

func (m *machine) marshal() []byte { return encode(m) }

func decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types are fixed
	}
	return data
}
