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

// A frame is four bytes of magic with the version, a checksum of the rest, and the rest as CBOR (RFC 8949) with arrays for
// records. The checksum is against chance, not against an enemy.
const (
	magic       = "HZF"
	version     = 1
	frameHeader = len(magic) + 1 + 8
	// mostEntries are of one frame, also in a stream.
	mostEntries = 100_000
)

// The ways in which a frame cannot be read.
var (
	ErrCorrupt            = errors.New("it is corrupt")
	ErrUnsupportedVersion = errors.New("it is of another version")
)

type wireEntry struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Addr  []byte
	Life  uint64
	Run   uint64
	Inc   uint64
	State uint8
	By    string
	AgeMS uint64
}

type wireWord struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Gone   bool
	BornMS float64
	By     string
	AgeMS  uint64
}

// wireMessage is a Message. Only a SyncAsk has a digest; in the place of it the short kinds carry the stamp of the configuration that
// the sender acts on, where it takes one. Programs that know of no stamp do not look there, so fleets may be mixed, and the frame's
// version stays.
type wireMessage struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	Fleet      string
	From       wireEntry
	Seq        uint64
	Target     string
	TargetAddr []byte
	Entries    []wireEntry
	Words      []wireWord
	Digest     []uint64
	Buckets    uint64
	Join       bool
}

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode()
	decoder, _ = cbor.DecOptions{MaxArrayElements: mostEntries, MaxMapPairs: 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

// stamped says whether a kind carries the stamp.
func stamped(k cluster.Kind) bool { return k <= cluster.Gossip }

func ms(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// age guards against a number from a peer that no Duration holds.
func age(n uint64) time.Duration { return time.Duration(min(n, 1<<40)) * time.Millisecond }

func toWire(e *cluster.Entry) wireEntry {
	a, _ := e.Addr.MarshalBinary()
	return wireEntry{Name: e.Name, Addr: a, Life: e.Generation, Run: e.ProcessID, Inc: e.Refutations, State: uint8(e.State), By: e.ReportedBy, AgeMS: ms(e.Age)}
}

func fromWire(w *wireEntry) cluster.Entry {
	e := cluster.Entry{Name: w.Name, Incarnation: cluster.Incarnation{Generation: w.Life, ProcessID: w.Run, Refutations: w.Inc}, State: cluster.State(w.State), ReportedBy: w.By, Age: age(w.AgeMS)}
	e.Addr = address(w.Addr)
	return e
}

// address is a zero one where it cannot be read: the core refuses what has none.
func address(b []byte) (a netip.AddrPort) {
	if len(b) > 0 && a.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Encode makes a frame.
func Encode(m *cluster.Message) ([]byte, error) {
	w := wireMessage{Kind: uint8(m.Kind), Fleet: m.ClusterName, From: toWire(&m.From), Seq: m.Seq, Target: m.Target, Digest: m.Digest, Buckets: m.BucketMask, Join: m.Join}
	if m.ConfigEpoch > 0 && stamped(m.Kind) {
		w.Digest = []uint64{m.ConfigEpoch, m.ConfigVersion}
	}
	if m.TargetAddr.IsValid() {
		w.TargetAddr, _ = m.TargetAddr.MarshalBinary()
	}
	for i := range m.Entries {
		w.Entries = append(w.Entries, toWire(&m.Entries[i]))
	}
	for _, x := range m.Notices {
		w.Words = append(w.Words, wireWord{Server: x.Endpoint, Gone: x.Removed, BornMS: x.StartedMS, By: x.ReportedBy, AgeMS: ms(x.Age)})
	}
	body, err := encoder.Marshal(&w)
	if err != nil {
		return nil, err
	}
	frame := append(make([]byte, 0, frameHeader+len(body)), magic...)
	frame = append(frame, version)
	frame = binary.BigEndian.AppendUint64(frame, xxhash.Sum64(body))
	return append(frame, body...), nil
}

// Decode reads a frame. Its error is ErrCorrupt or ErrVersion, with details.
func Decode(frame []byte) (*cluster.Message, error) {
	if len(frame) < frameHeader || string(frame[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no frame of a fleet", ErrCorrupt)
	}
	if v := frame[len(magic)]; v != version {
		return nil, fmt.Errorf("%w: %d, and this is %d", ErrUnsupportedVersion, v, version)
	}
	body := frame[frameHeader:]
	if binary.BigEndian.Uint64(frame[len(magic)+1:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: the checksum differs", ErrCorrupt)
	}
	var w wireMessage
	if err := decoder.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	m := &cluster.Message{Kind: cluster.Kind(w.Kind), ClusterName: w.Fleet, From: fromWire(&w.From), Seq: w.Seq, Target: w.Target, TargetAddr: address(w.TargetAddr),
		Digest: w.Digest, BucketMask: w.Buckets, Join: w.Join}
	if stamped(m.Kind) && len(m.Digest) == 2 {
		m.ConfigEpoch, m.ConfigVersion, m.Digest = m.Digest[0], m.Digest[1], nil
	}
	for i := range w.Entries {
		m.Entries = append(m.Entries, fromWire(&w.Entries[i]))
	}
	for _, x := range w.Words {
		m.Notices = append(m.Notices, cluster.EndpointNotice{Endpoint: x.Server, Removed: x.Gone, StartedMS: x.BornMS, ReportedBy: x.By, Age: age(x.AgeMS)})
	}
	return m, nil
}
