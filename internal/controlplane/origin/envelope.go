package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/controlplane"
)

// envelope is a message between origins; a CRC-32C of it follows. Guards against a message that changed on its way: raft takes one whose
// fields contradict each other for a fault of its own, and ends the process.
type envelope struct {
	Founding []byte               `cbor:"1,keyasint"` // its key: who was founded otherwise is nobody of ours
	From     uint64               `cbor:"2,keyasint"`
	Marks    []uint64             `cbor:"3,keyasint"` // by identity: the highest that the sender knows; its own is what is durable there
	Rolled   bool                 `cbor:"4,keyasint,omitempty"`
	Report   *controlplane.Report `cbor:"5,keyasint,omitempty"` // of the members that follow the sender
	Raft     []byte               `cbor:"6,keyasint,omitempty"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errEnvelope = errors.New("it is no message of an origin")

// open reads one.
func (n *Node) open(data []byte) (*envelope, *raftpb.Message, error) {
	if len(data) > MaxMessageSize {
		return nil, nil, fmt.Errorf("%w: %d bytes", errEnvelope, len(data))
	}
	body := data[:max(len(data)-4, 0)]
	if len(data) < 4 || crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[len(body):]) {
		return nil, nil, fmt.Errorf("%w: its checksum is not that of its content", errEnvelope)
	}
	e := new(envelope)
	if err := decode(body, e); err != nil {
		return nil, nil, fmt.Errorf("%w: %v", errEnvelope, err)
	}
	if string(e.Founding) != n.key {
		return nil, nil, errForeign
	}
	if e.From == 0 || e.From > uint64(len(n.cfg.Origins)) || e.From == n.id || len(e.Marks) != len(n.cfg.Origins) {
		return nil, nil, fmt.Errorf("%w: from %d", errEnvelope, e.From)
	}
	if len(e.Raft) == 0 {
		return e, nil, nil
	}
	m := new(raftpb.Message)
	if err := proto.Unmarshal(e.Raft, m); err != nil {
		return nil, nil, fmt.Errorf("%w: %v", errEnvelope, err)
	}
	if m.GetFrom() != e.From || m.GetTo() != n.id {
		return nil, nil, fmt.Errorf("%w: from %d as %d to %d", errEnvelope, e.From, m.GetFrom(), m.GetTo())
	}
	return e, m, nil
}

// seal makes the bytes of one.
func (n *Node) seal(m *raftpb.Message, report *controlplane.Report) []byte {
	n.seen[n.id-1] = n.mark
	e := envelope{Founding: []byte(n.key), From: n.id, Marks: n.seen, Rolled: n.rolled != "", Report: report}
	if m != nil {
		var err error
		if e.Raft, err = proto.Marshal(m); err != nil {
			panic(err) // of a message that raft itself made
		}
	}
	body := encode(e)
	return binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
}

// key tells foundings apart: the same fleet, epoch and origins.
func (f *BootstrapConfig) key() string {
	names := slices.Sorted(slices.Values(f.Origins))
	sum := sha256.Sum256([]byte(fmt.Sprintf("%q %d %q", f.Cluster, f.Epoch, names)))
	return string(sum[:16])
}

// Check says what is wrong with a founding.
func (f *BootstrapConfig) Validate() error {
	switch names := slices.Compact(slices.Sorted(slices.Values(f.Origins))); {
	case f.Cluster == "":
		return errors.New("fleet: no name")
	case f.Epoch == 0:
		return errors.New("epoch: is counted from 1")
	case len(names) == 0 || len(names) > MaxOrigins:
		return fmt.Errorf("peers: %d origins are not 1 to %d", len(names), MaxOrigins)
	case len(names) != len(f.Origins):
		return errors.New("peers: a name is there twice")
	case slices.ContainsFunc(names, func(s string) bool {
		return s == "" || len(s) > controlplane.MaxNameLength || strings.ContainsAny(s, "/ \t\n")
	}):
		return fmt.Errorf("peers: a name is empty, longer than %d bytes or has spaces or slashes", controlplane.MaxNameLength)
	}
	return nil
}
