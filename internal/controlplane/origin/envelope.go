package origin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/controlplane"
)

// checksumSize is the size of the checksum after an envelope, in bytes.
const checksumSize = 4

// envelope is a message between origins. It is followed by a little-endian CRC-32C of its bytes: raft panics on a
// message whose fields contradict each other, for example because it was altered in transit.
type envelope struct {
	BootstrapKey []byte               `cbor:"1,keyasint"`           // the sender's bootstrap; must equal the receiver's
	From         uint64               `cbor:"2,keyasint"`           // the sender's ID
	WriteNumbers []uint64             `cbor:"3,keyasint"`           // highest known write numbers, by origin ID
	RolledBack   bool                 `cbor:"4,keyasint,omitempty"` // the sender has withdrawn
	Report       *controlplane.Report `cbor:"5,keyasint,omitempty"` // report of the sender's members
	Raft         []byte               `cbor:"6,keyasint,omitempty"` // raft's message; empty if there is none
}

// castagnoli is the table of CRC-32C (RFC 3720).
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of decodeEnvelope.
var (
	errForeignMessage = errors.New("message belongs to another bootstrap")
	errCorruptMessage = errors.New("invalid message")
)

// decodeEnvelope decodes and checks a message. m is nil if the envelope contains no message of raft.
func (n *Node) decodeEnvelope(data []byte) (e *envelope, m *raftpb.Message, err error) {
	body, err := verifyChecksum(data)
	if err != nil {
		return nil, nil, err
	}
	e = new(envelope)
	if err := decode(body, e); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errCorruptMessage, err)
	}
	if string(e.BootstrapKey) != n.bootstrapKey {
		return nil, nil, errForeignMessage
	}
	switch origins := len(n.cfg.Origins); {
	case e.From == 0 || e.From > uint64(origins):
		return nil, nil, fmt.Errorf("%w: sender ID %d, want 1 to %d", errCorruptMessage, e.From, origins)
	case e.From == n.id:
		return nil, nil, fmt.Errorf("%w: sender ID %d is that of the receiver", errCorruptMessage, e.From)
	case len(e.WriteNumbers) != origins:
		return nil, nil, fmt.Errorf("%w: %d write numbers, want %d", errCorruptMessage, len(e.WriteNumbers), origins)
	}
	if len(e.Raft) == 0 {
		return e, nil, nil
	}
	m = new(raftpb.Message)
	if err := proto.Unmarshal(e.Raft, m); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errCorruptMessage, err)
	}
	if m.GetFrom() != e.From {
		return nil, nil, fmt.Errorf("%w: raft message from %d in an envelope from %d",
			errCorruptMessage, m.GetFrom(), e.From)
	}
	if m.GetTo() != n.id {
		return nil, nil, fmt.Errorf("%w: raft message to %d, want %d", errCorruptMessage, m.GetTo(), n.id)
	}
	return e, m, nil
}

// verifyChecksum checks the size and checksum of a message, and returns its bytes without the checksum.
func verifyChecksum(data []byte) ([]byte, error) {
	if len(data) > MaxMessageSize {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", errCorruptMessage, len(data), MaxMessageSize)
	}
	if len(data) < checksumSize {
		return nil, fmt.Errorf("%w: %d bytes, want at least %d", errCorruptMessage, len(data), checksumSize)
	}
	body := data[:len(data)-checksumSize]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[len(body):]) {
		return nil, fmt.Errorf("%w: checksum mismatch", errCorruptMessage)
	}
	return body, nil
}

// encodeEnvelope updates this origin's own write number in n.writeNumbers, and encodes a message with n.writeNumbers. m
// and report may be nil.
func (n *Node) encodeEnvelope(m *raftpb.Message, report *controlplane.Report) []byte {
	n.writeNumbers[n.id-1] = n.writeNumber
	e := envelope{
		BootstrapKey: []byte(n.bootstrapKey),
		From:         n.id,
		WriteNumbers: n.writeNumbers,
		RolledBack:   n.rollbackReason != "",
		Report:       report,
	}
	if m != nil {
		var err error
		if e.Raft, err = proto.Marshal(m); err != nil {
			panic(err) // unreachable: raft created the message
		}
	}
	body := encode(e)
	return binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
}
