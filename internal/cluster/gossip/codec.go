package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"hazelwing/internal/cluster"
)

// A frame is a header followed by a body. The header has magic, the protocol version and a
// checksum of the body (XXH64, big-endian). The body is a wireMessage in CBOR (RFC 8949),
// with structs as arrays. The checksum detects accidental damage. It does not authenticate
// the sender.
const (
	magic            = "HZF"
	protocolVersion  = 1
	versionOffset    = len(magic)
	checksumOffset   = versionOffset + 1
	frameHeaderBytes = checksumOffset + 8

	// maxFrameEntries is the maximum number of elements in an array of a frame, such as
	// the entries.
	maxFrameEntries  = 100_000
	maxFrameMapPairs = 16
	maxFrameNesting  = 8

	// maxWireAgeMS limits the age of an entry or notice in a received frame, in
	// milliseconds. It prevents an age from a faulty peer from overflowing time.Duration.
	maxWireAgeMS = 1 << 40
)

// The errors of Decode.
var (
	ErrCorrupt            = errors.New("corrupt frame")
	ErrUnsupportedVersion = errors.New("unsupported protocol version")
)

// wireEntry is a cluster.Entry in a frame. In wireEntry, wireNotice and wireMessage, the
// order of the fields is part of the format, and their names are not.
type wireEntry struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        []byte // in the format of netip.AddrPort.MarshalBinary
	Generation  uint64
	ProcessID   uint64
	Refutations uint64
	State       uint8
	ReportedBy  string
	AgeMS       uint64
}

// wireNotice is a cluster.EndpointNotice in a frame.
type wireNotice struct {
	_          struct{} `cbor:",toarray"`
	Endpoint   string
	Removed    bool
	StartedMS  float64
	ReportedBy string
	AgeMS      uint64
}

// wireMessage is a cluster.Message in a frame.
type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	ClusterName string
	From        wireEntry
	Seq         uint64
	Target      string
	TargetAddr  []byte
	Entries     []wireEntry
	Notices     []wireNotice
	// Digest is the digest of the view or, in kinds of messages for which carriesRevision
	// returns true, the epoch and version of the configuration.
	Digest     []uint64
	BucketMask uint64
	Join       bool
}

// encodeMode and decodeMode are immutable and safe for concurrent use.
var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // EncMode fails only if the options are invalid, and these are constant.
	}
	return mode
}

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxFrameEntries,
		MaxMapPairs:       maxFrameMapPairs,
		MaxNestedLevels:   maxFrameNesting,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // DecMode fails only if the options are invalid, and these are constant.
	}
	return mode
}

// carriesRevision reports whether messages of a kind carry the revision of the
// configuration. These messages have no digest, so wireMessage.Digest has the revision.
func carriesRevision(k cluster.Kind) bool { return k <= cluster.Gossip }

// toMilliseconds returns a duration in whole milliseconds, or 0 if it is negative.
func toMilliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// ageFromWire returns a received age, given in milliseconds, limited to maxWireAgeMS.
func ageFromWire(ms uint64) time.Duration {
	return time.Duration(min(ms, maxWireAgeMS)) * time.Millisecond
}

func addrToWire(addr netip.AddrPort) []byte {
	b, _ := addr.MarshalBinary() // The error is always nil.
	return b
}

// addrFromWire decodes an address. It returns the zero address if b cannot be decoded. The
// core rejects entries with the zero address.
func addrFromWire(b []byte) netip.AddrPort {
	var addr netip.AddrPort
	if len(b) > 0 && addr.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

func entryToWire(e *cluster.Entry) wireEntry {
	return wireEntry{
		Name:        e.Name,
		Addr:        addrToWire(e.Addr),
		Generation:  e.Generation,
		ProcessID:   e.ProcessID,
		Refutations: e.Refutations,
		State:       uint8(e.State),
		ReportedBy:  e.ReportedBy,
		AgeMS:       toMilliseconds(e.Age),
	}
}

func entryFromWire(w *wireEntry) cluster.Entry {
	return cluster.Entry{
		Name: w.Name,
		Addr: addrFromWire(w.Addr),
		Incarnation: cluster.Incarnation{
			Generation:  w.Generation,
			ProcessID:   w.ProcessID,
			Refutations: w.Refutations,
		},
		State:      cluster.State(w.State),
		ReportedBy: w.ReportedBy,
		Age:        ageFromWire(w.AgeMS),
	}
}

func noticeToWire(n *cluster.EndpointNotice) wireNotice {
	return wireNotice{
		Endpoint:   n.Endpoint,
		Removed:    n.Removed,
		StartedMS:  n.StartedMS,
		ReportedBy: n.ReportedBy,
		AgeMS:      toMilliseconds(n.Age),
	}
}

func noticeFromWire(w *wireNotice) cluster.EndpointNotice {
	return cluster.EndpointNotice{
		Endpoint:   w.Endpoint,
		Removed:    w.Removed,
		StartedMS:  w.StartedMS,
		ReportedBy: w.ReportedBy,
		Age:        ageFromWire(w.AgeMS),
	}
}

func messageToWire(m *cluster.Message) *wireMessage {
	w := &wireMessage{
		Kind:        uint8(m.Kind),
		ClusterName: m.ClusterName,
		From:        entryToWire(&m.From),
		Seq:         m.Seq,
		Target:      m.Target,
		Digest:      m.Digest,
		BucketMask:  m.BucketMask,
		Join:        m.Join,
	}
	if m.ConfigEpoch > 0 && carriesRevision(m.Kind) {
		w.Digest = []uint64{m.ConfigEpoch, m.ConfigVersion}
	}
	if m.TargetAddr.IsValid() {
		w.TargetAddr = addrToWire(m.TargetAddr)
	}
	for i := range m.Entries {
		w.Entries = append(w.Entries, entryToWire(&m.Entries[i]))
	}
	for i := range m.Notices {
		w.Notices = append(w.Notices, noticeToWire(&m.Notices[i]))
	}
	return w
}

func messageFromWire(w *wireMessage) *cluster.Message {
	m := &cluster.Message{
		Kind:        cluster.Kind(w.Kind),
		ClusterName: w.ClusterName,
		From:        entryFromWire(&w.From),
		Seq:         w.Seq,
		Target:      w.Target,
		TargetAddr:  addrFromWire(w.TargetAddr),
		Digest:      w.Digest,
		BucketMask:  w.BucketMask,
		Join:        w.Join,
	}
	if carriesRevision(m.Kind) && len(m.Digest) == 2 {
		m.ConfigEpoch, m.ConfigVersion = m.Digest[0], m.Digest[1]
		m.Digest = nil
	}
	for i := range w.Entries {
		m.Entries = append(m.Entries, entryFromWire(&w.Entries[i]))
	}
	for i := range w.Notices {
		m.Notices = append(m.Notices, noticeFromWire(&w.Notices[i]))
	}
	return m
}

// Encode returns the frame of a message.
func Encode(m *cluster.Message) ([]byte, error) {
	body, err := encodeMode.Marshal(messageToWire(m))
	if err != nil {
		return nil, err
	}
	frame := append(make([]byte, 0, frameHeaderBytes+len(body)), magic...)
	frame = append(frame, protocolVersion)
	frame = binary.BigEndian.AppendUint64(frame, xxhash.Sum64(body))
	return append(frame, body...), nil
}

// Decode returns the message of a frame. Its errors wrap ErrCorrupt or
// ErrUnsupportedVersion. It does not retain frame.
func Decode(frame []byte) (*cluster.Message, error) {
	if len(frame) < frameHeaderBytes {
		return nil, fmt.Errorf("%w: length of %d bytes, want at least %d", ErrCorrupt, len(frame), frameHeaderBytes)
	}
	if m := frame[:versionOffset]; string(m) != magic {
		return nil, fmt.Errorf("%w: starts with %q, want %q", ErrCorrupt, m, magic)
	}
	if v := frame[versionOffset]; v != protocolVersion {
		return nil, fmt.Errorf("%w: %d, want %d", ErrUnsupportedVersion, v, protocolVersion)
	}
	body := frame[frameHeaderBytes:]
	if got, want := binary.BigEndian.Uint64(frame[checksumOffset:]), xxhash.Sum64(body); got != want {
		return nil, fmt.Errorf("%w: checksum in the header is %016x, want %016x", ErrCorrupt, got, want)
	}
	var w wireMessage
	if err := decodeMode.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return messageFromWire(&w), nil
}
