package transport

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/testutil"
)

// A change reaches one member through another, becomes active at both, and the origin receives one report that counts
// both. When that origin fails, the member at the top of the tree has to subscribe to the other origin; otherwise no
// further change would reach either member.
func TestChangePropagatesAndIsReported(t *testing.T) {
	t.Parallel()
	origins := []*fakeUpstream{newFakeUpstream(t, "o1", nil), newFakeUpstream(t, "o2", nil)}
	publish := func(frame controlplane.Frame) {
		for _, origin := range origins {
			origin.publish(frame)
		}
	}
	publish(testFrame(1, "# one"))
	// The hash of the member's name decides to which origin it subscribes.
	first := startMember(t, "m1", t.TempDir(), origins[0].addr, origins[1].addr)
	awaitVersion(t, "version 1 is active at the first member", 1, first)
	second := startMember(t, "m2", t.TempDir(), origins[0].addr, origins[1].addr)
	introduce(first, second)
	awaitVersion(t, "version 1 is active at both members", 1, second)
	// used is the origin that the top of the tree subscribes to.
	used, other := origins[0], origins[1]
	testutil.Until(t, "one of the origins has a report that counts both members", func() bool {
		if reportedMembers(other.currentReports()) == 2 {
			used, other = other, used
		}
		return reportedMembers(used.currentReports()) == 2
	})
	publish(testFrame(2, "# two"))
	awaitVersion(t, "version 2 is active at both members", 2, first, second)
	testutil.Until(t, "the origin has a report that version 2 is active at both members", func() bool {
		return slices.ContainsFunc(used.currentReports(), func(r controlplane.Report) bool {
			return len(r.Active) == 1 && r.Active[0].Revision.Version == 2 && r.Active[0].Count == 2
		})
	})
	used.fail()
	other.publish(testFrame(3, "# three"))
	awaitVersion(t, "version 3 of the other origin is active at both members", 3, first, second)
	// Apply has returned, or is about to; the member records the version as active after that.
	testutil.Until(t, "the first member's state has version 3, from the other origin", func() bool {
		state, _ := first.State()
		return state.Ready && state.Active.Version == 3 && state.Upstream == other.self && !state.FromCache
	})
}

// A member of an older program version rejects a snapshot with an unknown key and keeps the last valid snapshot
// active. Nevertheless it relays the new snapshot to its subscribers, and the origin receives its name and the reason
// for the rejection.
func TestOlderVersionRelaysSnapshotsItRejects(t *testing.T) {
	t.Parallel()
	upstream := newFakeUpstream(t, "o1", nil)
	upstream.publish(testFrame(1, "# one"))
	parseWithoutPrice := func(text []byte) (*controlplane.Snapshot, error) {
		if strings.Contains(string(text), "[price]") {
			return nil, errors.New("1:2: no such key: price")
		}
		return controlplane.ParseSnapshot(text)
	}
	older := startMemberWithParser(t, parseWithoutPrice, "m1", "", upstream.addr)
	awaitVersion(t, "version 1 is active at the older member", 1, older)
	newer := startMember(t, "m2", "", upstream.addr)
	introduce(older, newer)
	testutil.Until(t, "one of the members subscribes to the other", func() bool {
		return older.subscribesTo("m2") || newer.subscribesTo("m1")
	})
	upstream.publish(testFrame(2, "[price]\nprobe = 0.5\n"))
	awaitVersion(t, "version 2 is active at the newer member", 2, newer)
	isRejection := func(l controlplane.Laggard) bool {
		return l.Name == "m1" && l.Reason == controlplane.ReasonRejected &&
			strings.Contains(l.Error, "no such key: price") && l.Active.Version == 1
	}
	testutil.Until(t, "the origin has reports that count both members and name the rejection", func() bool {
		reports := upstream.currentReports()
		return reportedMembers(reports) == 2 && slices.ContainsFunc(reports, func(r controlplane.Report) bool {
			return slices.ContainsFunc(r.Laggards, isRejection)
		})
	})
	if version := older.activeVersion(); version != 1 {
		t.Errorf("version %d is active at the older member, want 1", version)
	}
}

// Guards against a member that never gets the configuration: it is one of many, and has reached none of them since its
// start, so that it may subscribe to an origin only after a random delay, here of up to 3 s. Its probes of the origin
// must not draw the delay again.
func TestIsolatedMemberGetsTheSnapshot(t *testing.T) {
	t.Parallel()
	upstream := newFakeUpstream(t, "o1", nil)
	upstream.publish(testFrame(1, "# one"))
	const size = 60
	m := startMemberWithConfig(t, func(c *MemberConfig) { c.Selector.ConfiguredSize = size }, "m1", "", upstream.addr)
	awaitVersion(t, "version 1 is active at the isolated member", 1, m)
}

// Guards against origins that keep all subscribers which did not know a peer when they started: one of two members that
// subscribed to an origin before they knew each other has to leave it for the other, while the first stays.
func TestMemberLeavesTheOriginForAPeer(t *testing.T) {
	t.Parallel()
	upstream := newFakeUpstream(t, "o1", nil)
	upstream.publish(testFrame(1, "# one"))
	first, second := startMember(t, "m1", "", upstream.addr), startMember(t, "m2", "", upstream.addr)
	awaitVersion(t, "version 1 is active at both members", 1, first, second)
	testutil.Until(t, "both members subscribe to the origin", func() bool {
		return first.subscribesTo("o1") && second.subscribesTo("o1")
	})
	introduce(first, second)
	testutil.Until(t, "one of the members subscribes to the other", func() bool {
		return first.subscribesTo("m2") || second.subscribesTo("m1")
	})
	upstream.publish(testFrame(2, "# two"))
	awaitVersion(t, "version 2 is active at both members", 2, first, second)
}

// An origin that does not participate in the consensus receives no changes, so its subscribers would keep an old
// configuration. They have to switch to another origin that participates, and stay as long as there is none.
func TestSubscriberLeavesNonParticipatingOrigin(t *testing.T) {
	t.Parallel()
	first, second := newFakeUpstream(t, "idle", nil), newFakeUpstream(t, "good", nil)
	for _, upstream := range []*fakeUpstream{first, second} {
		upstream.setParticipating(false)
		upstream.publish(testFrame(1, "# one"))
	}
	m := startMember(t, "m", "", orderOrigins("m", first.addr, second.addr)...)
	testutil.Until(t, "the member subscribes to the first origin", func() bool {
		return m.subscribesTo("idle") && m.activeVersion() == 1
	})
	second.publish(testFrame(2, "# two"))
	second.setParticipating(true)
	testutil.Until(t, "the member subscribes to the origin that participates", func() bool {
		return m.subscribesTo("good") && m.activeVersion() == 2
	})
}

// writeText writes part of a response. Callers may ignore the error: the member is expected to disconnect.
func writeText(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// writeTooLongFrame writes a compressed frame whose text exceeds the limit when it is decompressed.
func writeTooLongFrame(w io.Writer) {
	packed := pack(testFrame(1, "# "+strings.Repeat("x", 2*controlplane.MaxSnapshotSize)))
	packed.Path = []string{"bad"}
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(packed) // the line with the path comes first
	packed.Path = nil
	_ = encoder.Encode(packed)
}

// writeCircularPath writes a path that contains the member itself, and then keep-alives until the member disconnects.
func writeCircularPath(w http.ResponseWriter) {
	err := writeText(w, `{"path":["bad","m","o1"]}`+"\n")
	for ; err == nil; time.Sleep(50 * time.Millisecond) {
		if err = http.NewResponseController(w).Flush(); err == nil {
			err = writeText(w, "\n")
		}
	}
}

// An upstream sends lines that are too long, truncated or malformed, or a path that contains the member, or rejects the
// request as one of another cluster. The member must not accept such data, terminate, or stay with that upstream: it
// closes only that connection and subscribes to the next origin.
func TestMalformedUpstreams(t *testing.T) {
	t.Parallel()
	good := newFakeUpstream(t, "good", nil)
	good.publish(testFrame(1, "# one"))
	head := `{"path":["bad"],"holds":{"epoch":1,"version":9,"hash":""}}` + "\n"
	write := func(text string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _ = writeText(w, text) }
	}
	for name, respond := range map[string]func(w http.ResponseWriter){
		"line too long":          write(head + strings.Repeat("x", MaxLineSize+1)),
		"truncated line":         write(head + `{"frame":{"fleet":"f","stamp":{"ep`),
		"unpacked text too long": func(w http.ResponseWriter) { writeTooLongFrame(w) },
		"not JSON":               write(head + "hello\n"),
		"frame before path":      write(`{"frame":{"fleet":"f"}}` + "\n"),
		"circular path":          writeCircularPath,
		"another cluster": func(w http.ResponseWriter) {
			http.Error(w, "another fleet's", http.StatusForbidden)
		},
	} {
		t.Run(name, func(t *testing.T) {
			requested := make(chan bool, 100)
			bad := newFakeUpstream(t, "bad", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case requested <- true:
				default:
				}
				respond(w)
			}))
			m := startMember(t, "m", "", orderOrigins("m", bad.addr, good.addr)...)
			testutil.Receive(t, requested, "a request to the upstream that sends malformed data")
			awaitVersion(t, "the version of the good origin is active", 1, m)
			m.stop()
		})
	}
}

// An upstream stalls in the middle of a frame while its connection stays open. A member that waited for the rest of
// the frame would miss all further changes; it has to switch to another upstream.
func TestStalledUpstream(t *testing.T) {
	t.Parallel()
	good := newFakeUpstream(t, "good", nil)
	requested := make(chan bool, 10)
	stalled := newFakeUpstream(t, "still", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested <- true
		_ = writeText(w, `{"path":["still"],"holds":{"epoch":1,"version":1,"hash":""}}`+"\n"+`{"frame":{"fleet":"f"`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	m := startMember(t, "m", "", orderOrigins("m", stalled.addr, good.addr)...)
	testutil.Receive(t, requested, "a request to the upstream that stalls")
	good.publish(testFrame(1, "# one"))
	awaitVersion(t, "the version of the good origin is active", 1, m)
}

// A subscriber does not read the data that it is sent. It must neither count towards the limit of subscribers for ever
// nor delay the others: it is disconnected, while another subscriber receives every change.
func TestSlowSubscriberIsDisconnected(t *testing.T) {
	t.Parallel()
	upstream := newFakeUpstream(t, "o", nil)
	conn, err := net.Dial("tcp", upstream.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "GET %s?epoch=0&version=0 HTTP/1.1\r\nHost: o\r\n%s: f\r\n%s: slow\r\n\r\n",
		watchPath, clusterHeader, senderHeader)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReaderSize(conn, 16).ReadByte(); err != nil {
		t.Fatal(err)
	}
	m := startMember(t, "m", "", upstream.addr)
	random := make([]byte, controlplane.MaxSnapshotSize/2-10) // cannot be compressed
	_, _ = rand.Read(random)                                  // never fails
	text := "# " + hex.EncodeToString(random)
	versions := uint64(0)
	testutil.Until(t, "the slow subscriber is disconnected, and the other one has the latest version", func() bool {
		if upstream.state().Subscribers == 2 || versions == 0 {
			versions++
			upstream.publish(testFrame(versions, text))
		}
		return upstream.state().Subscribers == 1 && m.activeVersion() == versions
	})
	if versions == 0 {
		t.Error("no version was published")
	}
}

// A member that restarts while no origin is reachable activates its cached snapshot. Its state and its message for the
// log show this and the age of the snapshot until an origin confirms it, so that operators notice an old
// configuration. A damaged cache file is not used.
func TestRestartFromCachedSnapshot(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	upstream := newFakeUpstream(t, "o", nil)
	upstream.publish(testFrame(4, "# four"))
	m := startMember(t, "m", dir, upstream.addr)
	if text := m.WaitReady(t.Context(), testutil.WaitTimeout); text != "active revision: 1.4" {
		t.Errorf("WaitReady returns %q, want \"active revision: 1.4\"", text)
	}
	path := filepath.Join(dir, cacheFileName)
	testutil.Until(t, "the snapshot is stored", func() bool { _, err := os.Stat(path); return err == nil })
	m.stop()
	yesterday := time.Now().Add(-25 * time.Hour)
	if err := os.Chtimes(path, yesterday, yesterday); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the cached snapshot is active", 4, m)
	text := m.WaitReady(t.Context(), 50*time.Millisecond)
	if !strings.Contains(text, "the last known one, 1.4, confirmed 25h0m") {
		t.Errorf("WaitReady returns %q, want the last known revision 1.4, confirmed 25 hours ago", text)
	}
	if s, _ := m.State(); !s.FromCache || s.Ready || !strings.HasPrefix(s.CachedAge, "25h0m") {
		t.Errorf("state is %+v, want an unconfirmed snapshot that is 25 hours old", s)
	}
	m.stop()
	m = startMember(t, "m", dir, upstream.addr)
	if text := m.WaitReady(t.Context(), testutil.WaitTimeout); text != "active revision: 1.4" {
		t.Errorf("WaitReady returns %q, want \"active revision: 1.4\"", text)
	}
	m.stop()
	stored, err := os.ReadFile(path)
	damaged := strings.Replace(string(stored), `"text":"`, `"text":"AAAA`, 1)
	if err := errors.Join(err, os.WriteFile(path, []byte(damaged), 0o600)); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, unreachableOrigin)
	text = m.WaitReady(t.Context(), 50*time.Millisecond)
	if !strings.Contains(text, "there is no usable cached snapshot: the platform's settings apply") {
		t.Errorf("WaitReady returns %q, want a text that says that there is no usable cached snapshot", text)
	}
}
