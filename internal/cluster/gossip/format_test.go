package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/testutil"
)

func formatEntry(name string, state cluster.State) cluster.Entry {
	return cluster.Entry{
		Name: name, Addr: netip.MustParseAddrPort("10.0.0.4:7946"), Incarnation: cluster.Incarnation{Generation: 2, ProcessID: 1<<63 + 5, Refutations: 300},
		State: state, ReportedBy: "accuser", Age: 1500 * time.Millisecond,
	}
}

// formatMessage has every field that a message of this kind may carry.
func formatMessage(kind cluster.Kind) *cluster.Message {
	m := &cluster.Message{
		Kind: kind, ClusterName: "booking", From: formatEntry("sender", cluster.Alive), Seq: 70000, Target: "target",
		TargetAddr: netip.MustParseAddrPort("[2001:db8::1]:7946"),
		Entries: []cluster.Entry{
			formatEntry("a", cluster.Alive), formatEntry("b", cluster.Suspect), formatEntry("c", cluster.Dead), formatEntry("d", cluster.Left),
		},
		Notices: []cluster.EndpointNotice{
			{Endpoint: "upstream-1", Removed: true, StartedMS: 1700000000000.5, ReportedBy: "teller", Age: 2 * time.Second},
			{Endpoint: "upstream-2", StartedMS: 0, ReportedBy: "teller", Age: 3 * time.Second},
		},
		BucketMask: 1 << 40, Join: true,
	}
	if stamped(kind) {
		m.ConfigEpoch, m.ConfigVersion = 3, 17
	} else {
		m.Digest = []uint64{1, 1 << 33, 7}
	}
	return m
}

var formatKinds = []struct {
	name  string
	kind  cluster.Kind
	value uint8
}{
	{"ping", cluster.Ping, 0},
	{"ack", cluster.Ack, 1},
	{"nack", cluster.Nack, 2},
	{"ping-req", cluster.PingReq, 3},
	{"gossip", cluster.Gossip, 4},
	{"sync-ask", cluster.PushPullRequest, 5},
	{"sync-tell", cluster.PushPullResponse, 6},
	{"sync-end", cluster.PushPullFinal, 7},
}

// A frame of each kind has the bytes that the fleet's other members read, and is read back whole.
func TestGossipFrameFormatIsStable(t *testing.T) {
	for _, c := range formatKinds {
		t.Run(c.name, func(t *testing.T) {
			if uint8(c.kind) != c.value {
				t.Errorf("the kind travels as %d, want %d", c.kind, c.value)
			}
			message := formatMessage(c.kind)
			frame, err := Encode(message)
			if err != nil {
				t.Fatal(err)
			}
			testutil.GoldenBinary(t, "frame-"+c.name+".hex", frame)
			decoded, err := Decode(frame)
			if err != nil || !reflect.DeepEqual(decoded, message) {
				t.Errorf("%v: read back as\n%+v, want\n%+v", err, decoded, message)
			}
		})
	}
}

// A short frame, of a member that takes no configuration, carries neither stamp nor digest.
func TestGossipFrameFormatWithoutStampIsStable(t *testing.T) {
	message := &cluster.Message{Kind: cluster.Ping, ClusterName: "booking", From: cluster.Entry{
		Name: "sender", Addr: netip.MustParseAddrPort("10.0.0.4:7946"), Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 5},
	}, Seq: 1}
	frame, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	testutil.GoldenBinary(t, "frame-without-stamp.hex", frame)
	if decoded, err := Decode(frame); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Errorf("%v: read back as\n%+v, want\n%+v", err, decoded, message)
	}
}

// States travel as these numbers in frames, and as these names in JSON.
func TestMemberStateNumbersAndNamesAreStable(t *testing.T) {
	for _, c := range []struct {
		state cluster.State
		value uint8
		name  string
	}{
		{cluster.Alive, 0, "alive"}, {cluster.Suspect, 1, "suspect"}, {cluster.Dead, 2, "dead"}, {cluster.Left, 3, "left"}, {cluster.Unknown, 255, "unknown"},
	} {
		text, err := c.state.MarshalText()
		if err != nil || uint8(c.state) != c.value || string(text) != c.name || c.state.String() != c.name {
			t.Errorf("%d %q %v %v, want %d %q", c.state, text, c.state, err, c.value, c.name)
		}
		var read cluster.State
		if err := read.UnmarshalText([]byte(c.name)); c.state != cluster.Unknown && (err != nil || read != c.state) {
			t.Errorf("%q is read as %v: %v", c.name, read, err)
		}
	}
	var read cluster.State
	if read.UnmarshalText([]byte("unknown")) == nil {
		t.Error("unknown is read as a state of a member")
	}
}

// formatState has no field that is zero.
func formatState() Status {
	return Status{
		Name: "m1", ClusterName: "booking",
		Members: []MemberStatus{{
			Member: cluster.Member{
				Name: "m2", Addr: netip.MustParseAddrPort("10.0.0.4:7946"), Incarnation: cluster.Incarnation{Generation: 2, ProcessID: 1<<63 + 5, Refutations: 300},
				State: cluster.Suspect, Since: 1500 * time.Millisecond, ReportedBy: "accuser", Self: true,
			},
			StateAge: "1.5s",
		}},
		Core: cluster.Stats{
			Joining: true, HealthScore: 1, KnownMembers: 2, LiveMembers: 3, EstimatedSize: 4, QueuedBroadcasts: 5, Notices: 6, ForgottenAddresses: 7, Refutations: 8, Stalls: 9, NameConflicts: 10,
			ForeignMessages: 11, Rejected: 12, Suspicions: 13, DeclaredDead: 14, TableFull: 15, PushPullsThrottled: 16, LastStallNS: 17,
		},
		Network: NetworkStats{
			DisallowedPeers: 1, Corrupt: 2, VersionMismatches: 3, QueueFull: 4, Unsent: 5, DatagramsOut: 6, StreamsOut: 7, BytesOut: 8, BytesIn: 9, DatagramsIn: 10,
			StreamBytesOut: 11, StreamBytesIn: 12,
		},
	}
}

// GET /fleet is this, and what operators' programs read.
func TestFleetStateFormatIsStable(t *testing.T) {
	state := formatState()
	testutil.Filled(t, state)
	testutil.ExplicitNames(t, "json", state)
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "state.json", append(text, '\n'))
	var read Status
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, state) {
		t.Errorf("%v: read back as\n%+v, want\n%+v", err, read, state)
	}

	// Without what may be absent.
	state.Members[0].ReportedBy, state.Members[0].Self = "", false
	if text, err = json.Marshal(state.Members); err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "members-without-optional-fields.json", append(text, '\n'))
}

// In a stream four bytes with the frame's length come first.
func TestGossipStreamFormatIsStable(t *testing.T) {
	message := formatMessage(cluster.PushPullResponse)
	frame, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- nil
			return
		}
		defer conn.Close()
		stream, _ := io.ReadAll(conn)
		received <- stream
	}()
	sender := &Node{cfg: Config{Log: slog.New(slog.DiscardHandler)}}
	to := netip.MustParseAddrPort(listener.Addr().String())
	if err := sender.write(context.Background(), outgoing{to: to, frame: frame}); err != nil {
		t.Fatal(err)
	}
	stream := <-received
	testutil.GoldenBinary(t, "stream-sync-tell.hex", stream)

	reader := &Node{in: make(chan input, 1)}
	writing, reading := net.Pipe()
	go func() {
		io.Copy(writing, bytes.NewReader(stream))
		writing.Close()
	}()
	reader.readStream(context.Background(), reading, to.Addr())
	select {
	case got := <-reader.in:
		if got.bad != nil || !reflect.DeepEqual(got.msg, message) {
			t.Errorf("%v: read as\n%+v, want\n%+v", got.bad, got.msg, message)
		}
	default:
		t.Error("the stream is not read")
	}
}
