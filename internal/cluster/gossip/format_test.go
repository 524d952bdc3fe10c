package gossip

import (
	"bytes"
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

func sampleEntry(name string, state cluster.State) cluster.Entry {
	return cluster.Entry{
		Name:        name,
		Addr:        netip.MustParseAddrPort("10.0.0.4:7946"),
		Incarnation: sampleIncarnation(),
		State:       state,
		ReportedBy:  "accuser",
		Age:         1500 * time.Millisecond,
	}
}

func sampleIncarnation() cluster.Incarnation {
	return cluster.Incarnation{Generation: 2, ProcessID: 1<<63 + 5, Refutations: 300}
}

// sampleMessage returns a message that has every field set that its kind may carry.
func sampleMessage(kind cluster.Kind) *cluster.Message {
	m := &cluster.Message{
		Kind:        kind,
		ClusterName: "booking",
		From:        sampleEntry("sender", cluster.Alive),
		Seq:         70000,
		Target:      "target",
		TargetAddr:  netip.MustParseAddrPort("[2001:db8::1]:7946"),
		Entries: []cluster.Entry{
			sampleEntry("a", cluster.Alive),
			sampleEntry("b", cluster.Suspect),
			sampleEntry("c", cluster.Dead),
			sampleEntry("d", cluster.Left),
		},
		Notices: []cluster.EndpointNotice{
			{
				Endpoint:   "upstream-1",
				Removed:    true,
				StartedMS:  1700000000000.5,
				ReportedBy: "teller",
				Age:        2 * time.Second,
			},
			{Endpoint: "upstream-2", StartedMS: 0, ReportedBy: "teller", Age: 3 * time.Second},
		},
		BucketMask: 1 << 40,
		Join:       true,
	}
	if carriesRevision(kind) {
		m.ConfigEpoch, m.ConfigVersion = 3, 17
	} else {
		m.Digest = []uint64{1, 1 << 33, 7}
	}
	return m
}

// Encode produces the frames in testdata for each kind of message, as other members expect
// them, and Decode returns the encoded message.
func TestGossipFrameFormatIsStable(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  cluster.Kind
		value uint8
	}{
		{"ping", cluster.Ping, 0},
		{"ack", cluster.Ack, 1},
		{"nack", cluster.Nack, 2},
		{"ping-req", cluster.PingReq, 3},
		{"gossip", cluster.Gossip, 4},
		{"push-pull-request", cluster.PushPullRequest, 5},
		{"push-pull-response", cluster.PushPullResponse, 6},
		{"push-pull-final", cluster.PushPullFinal, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			if uint8(test.kind) != test.value {
				t.Errorf("message kind has the value %d, want %d", test.kind, test.value)
			}
			message := sampleMessage(test.kind)
			frame, err := Encode(message)
			if err != nil {
				t.Fatal(err)
			}
			testutil.GoldenBinary(t, "frame-"+test.name+".hex", frame)
			decoded, err := Decode(frame)
			if err != nil || !reflect.DeepEqual(decoded, message) {
				t.Errorf("Decode returned error %v and message\n%+v, want no error and message\n%+v",
					err, decoded, message)
			}
		})
	}
}

// A frame of a member without a distributed configuration has neither a revision nor a
// digest.
func TestGossipFrameFormatWithoutRevisionIsStable(t *testing.T) {
	message := &cluster.Message{
		Kind:        cluster.Ping,
		ClusterName: "booking",
		From: cluster.Entry{
			Name:        "sender",
			Addr:        netip.MustParseAddrPort("10.0.0.4:7946"),
			Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 5},
		},
		Seq: 1,
	}
	frame, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	testutil.GoldenBinary(t, "frame-without-revision.hex", frame)
	if decoded, err := Decode(frame); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Errorf("Decode returned error %v and message\n%+v, want no error and message\n%+v", err, decoded, message)
	}
}

// The numbers of member states in frames and their names in JSON do not change.
func TestMemberStateNumbersAndNamesAreStable(t *testing.T) {
	for _, test := range []struct {
		state cluster.State
		value uint8
		name  string
	}{
		{cluster.Alive, 0, "alive"},
		{cluster.Suspect, 1, "suspect"},
		{cluster.Dead, 2, "dead"},
		{cluster.Left, 3, "left"},
		{cluster.Unknown, 255, "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text, err := test.state.MarshalText()
			if err != nil || string(text) != test.name {
				t.Errorf("MarshalText returned %q and error %v, want %q", text, err, test.name)
			}
			if uint8(test.state) != test.value || test.state.String() != test.name {
				t.Errorf("state has number %d and name %q, want %d and %q",
					test.state, test.state, test.value, test.name)
			}
			var decoded cluster.State
			err = decoded.UnmarshalText([]byte(test.name))
			if test.state != cluster.Unknown && (err != nil || decoded != test.state) {
				t.Errorf("UnmarshalText(%q) returned error %v and state %v, want no error and state %v",
					test.name, err, decoded, test.state)
			}
		})
	}
	var decoded cluster.State
	if decoded.UnmarshalText([]byte("unknown")) == nil {
		t.Error(`UnmarshalText("unknown") returned no error, want an error`)
	}
}

// sampleStatus returns a Status without zero fields.
func sampleStatus() Status {
	return Status{
		Name:        "m1",
		ClusterName: "booking",
		Members: []MemberStatus{{
			Member: cluster.Member{
				Name:        "m2",
				Addr:        netip.MustParseAddrPort("10.0.0.4:7946"),
				Incarnation: sampleIncarnation(),
				State:       cluster.Suspect,
				Since:       1500 * time.Millisecond,
				ReportedBy:  "accuser",
				Self:        true,
			},
			StateAge: "1.5s",
		}},
		Core: cluster.Stats{
			Joining:            true,
			HealthScore:        1,
			KnownMembers:       2,
			LiveMembers:        3,
			EstimatedSize:      4,
			QueuedBroadcasts:   5,
			Notices:            6,
			RemovedAddresses:   7,
			Refutations:        8,
			Stalls:             9,
			NameConflicts:      10,
			ForeignMessages:    11,
			Rejected:           12,
			Suspicions:         13,
			DeclaredDead:       14,
			TableFull:          15,
			PushPullsThrottled: 16,
			LastStallNS:        17,
		},
		Network: NetworkStats{
			DisallowedPeers:   1,
			Corrupt:           2,
			VersionMismatches: 3,
			QueueFull:         4,
			Unsent:            5,
			DatagramsOut:      6,
			StreamsOut:        7,
			BytesOut:          8,
			BytesIn:           9,
			DatagramsIn:       10,
			StreamBytesOut:    11,
			StreamBytesIn:     12,
		},
	}
}

// The JSON format of Status does not change, because GET /fleet returns it and operators'
// programs read it.
func TestFleetStateFormatIsStable(t *testing.T) {
	status := sampleStatus()
	testutil.CheckFieldsSet(t, status)
	testutil.CheckExplicitNames(t, "json", status)
	text := testutil.IndentedJSON(t, status)
	testutil.Golden(t, "state.json", text)
	var decoded Status
	if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, status) {
		t.Errorf("Unmarshal returned error %v and status\n%+v, want no error and status\n%+v", err, decoded, status)
	}

	// Optional fields are omitted.
	status.Members[0].ReportedBy, status.Members[0].Self = "", false
	text, err := json.Marshal(status.Members)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "members-without-optional-fields.json", append(text, '\n'))
}

// acceptOnce returns a listener and a channel that receives all bytes of the listener's
// first connection, or nil if Accept fails.
func acceptOnce(t *testing.T) (net.Listener, <-chan []byte) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	received := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- nil
			return
		}
		defer conn.Close()
		stream, _ := io.ReadAll(conn) // The caller compares the bytes, so an error is noticed.
		received <- stream
	}()
	return listener, received
}

// A stream consists of the frame's length in four bytes and the frame.
func TestGossipStreamFormatIsStable(t *testing.T) {
	message := sampleMessage(cluster.PushPullResponse)
	frame, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	listener, received := acceptOnce(t)
	sender := &Node{log: slog.New(slog.DiscardHandler)}
	to := netip.MustParseAddrPort(listener.Addr().String())
	if err := sender.sendStream(t.Context(), outboundFrame{to: to, frame: frame}); err != nil {
		t.Fatal(err)
	}
	stream := <-received
	testutil.GoldenBinary(t, "stream-push-pull-response.hex", stream)

	receiver := &Node{events: make(chan event, 1)}
	writeConn, readConn := net.Pipe()
	go func() {
		_, _ = io.Copy(writeConn, bytes.NewReader(stream)) // If this fails, readStream queues no message.
		writeConn.Close()
	}()
	receiver.readStream(t.Context(), readConn, to.Addr())
	select {
	case got := <-receiver.events:
		if got.decodeErr != nil || !reflect.DeepEqual(got.message, message) {
			t.Errorf("readStream queued error %v and message\n%+v, want no error and message\n%+v",
				got.decodeErr, got.message, message)
		}
	default:
		t.Error("readStream queued no event, want one with the message")
	}
}
