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

// A change reaches a member through another one, is in force at both, and is reported to the origin as the sum of both.
// Then the origin fails. Both members could stay without changes. The other origin is subscribed to, through the same
// tree.
func TestChangePropagatesAndIsReported(t *testing.T) {
	t.Parallel()
	origins := []*fakeUpstream{newFakeUpstream(t, "o1", nil), newFakeUpstream(t, "o2", nil)}
	publish := func(frame controlplane.Frame) {
		for _, origin := range origins {
			origin.publish(frame)
		}
	}
	publish(testFrame(1, "# one"))
	first := startMember(t, "m1", t.TempDir(), origins[0].addr, origins[1].addr) // the selector's order
	awaitVersion(t, "version 1 is in force at the first member", 1, first)
	second := startMember(t, "m2", t.TempDir(), origins[0].addr, origins[1].addr)
	introduce(first, second)
	awaitVersion(t, "version 1 is in force at both members", 1, second)
	testutil.Until(t, "the origins have reports of both members", func() bool {
		return reportedMembers(origins[0].currentReports())+reportedMembers(origins[1].currentReports()) == 2
	})
	used, other := origins[0], origins[1]
	if reportedMembers(other.currentReports()) > 0 {
		used, other = other, used
	}
	publish(testFrame(2, "# two"))
	awaitVersion(t, "version 2 is in force at both members", 2, first, second)
	testutil.Until(t, "the origin has a report that version 2 is in force at both", func() bool {
		return slices.ContainsFunc(used.currentReports(), func(r controlplane.Report) bool {
			return len(r.Active) == 1 && r.Active[0].Revision.Version == 2 && r.Active[0].Count == 2
		})
	})
	used.fail()
	other.publish(testFrame(3, "# three"))
	awaitVersion(t, "version 3, of the other origin, is in force at both members", 3, first, second)
	state, _ := first.State()
	if !state.Ready || state.Active.Version != 3 || state.Upstream != other.self || state.FromCache {
		t.Errorf("state is %+v, want version 3 of %s in force", state, other.self)
	}
}

// A member of an older version rejects a key that it does not know and stays with the last valid snapshot. Its
// subscribers get the new snapshot all the same, and the origin learns who rejects it and why.
func TestOlderVersionRelaysSnapshotsItRejects(t *testing.T) {
	t.Parallel()
	source := newFakeUpstream(t, "o1", nil)
	source.publish(testFrame(1, "# one"))
	parseWithoutPrice := func(text []byte) (*controlplane.Snapshot, error) {
		if strings.Contains(string(text), "[price]") {
			return nil, errors.New("1:2: no such key: price")
		}
		return controlplane.ParseSnapshot(text)
	}
	older := startMemberWithParser(t, parseWithoutPrice, "m1", "", source.addr)
	awaitVersion(t, "version 1 is in force at the older member", 1, older)
	newer := startMember(t, "m2", "", source.addr)
	introduce(older, newer)
	testutil.Until(t, "one of the members subscribes to the other", func() bool {
		return older.subscribesTo("m2") || newer.subscribesTo("m1")
	})
	source.publish(testFrame(2, "[price]\nprobe = 0.5\n"))
	awaitVersion(t, "version 2 is in force at the newer member", 2, newer)
	isRejection := func(l controlplane.Laggard) bool {
		return l.Name == "m1" && l.Reason == controlplane.ReasonRejected &&
			strings.Contains(l.Error, "no such key: price") && l.Active.Version == 1
	}
	testutil.Until(t, "the origin has a report of both members and of the rejection", func() bool {
		reports := source.currentReports()
		return reportedMembers(reports) == 2 && slices.ContainsFunc(reports, func(r controlplane.Report) bool {
			return slices.ContainsFunc(r.Laggards, isRejection)
		})
	})
	if version := older.activeVersion(); version != 1 {
		t.Errorf("version %d is in force at the older member, want 1", version)
	}
}

// An origin answers, but does not participate in the consensus, and learns of no changes. Its subscribers would act on
// an old configuration. They go to another origin that participates, and stay while there is none.
func TestSubscriberLeavesIdleOrigin(t *testing.T) {
	t.Parallel()
	first, second := newFakeUpstream(t, "idle", nil), newFakeUpstream(t, "good", nil)
	for _, source := range []*fakeUpstream{first, second} {
		source.setParticipating(false)
		source.publish(testFrame(1, "# one"))
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

// writeText writes part of a response. A member that has disconnected is what the tests wait for.
func writeText(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// writeTooLongFrame writes a frame whose text exceeds the limit once it is unpacked.
func writeTooLongFrame(w io.Writer) {
	packed := pack(testFrame(1, "# "+strings.Repeat("x", 2*controlplane.MaxSnapshotSize)))
	packed.Path = []string{"bad"}
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(packed) // the path, by which the member knows who it is
	packed.Path = nil
	_ = encoder.Encode(packed)
}

// writeCircularPath writes a path that contains the member, and keep-alives for as long as the member stays.
func writeCircularPath(w http.ResponseWriter) {
	err := writeText(w, `{"path":["bad","m","o1"]}`+"\n")
	for ; err == nil; time.Sleep(50 * time.Millisecond) {
		if err = http.NewResponseController(w).Flush(); err == nil {
			err = writeText(w, "\n")
		}
	}
}

// An upstream sends lines that are too long, cut, or of another cluster. The member could take them, end, or stay with
// that upstream. It closes that connection only, keeps what it has and subscribes to the next origin.
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
			testutil.Receive(t, requested, "a request to the malformed upstream")
			awaitVersion(t, "the good origin's version is in force", 1, m)
			m.stop()
		})
	}
}

// An upstream stalls in the middle of a frame, and its connection stays open. The member would wait for the rest and
// miss each change. It leaves the upstream for another one.
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
	awaitVersion(t, "the good origin's version is in force", 1, m)
}

// A subscriber does not read. It could hold its place for ever, or delay the others. It is disconnected, and the others
// receive each change in time.
func TestSlowSubscriberIsDisconnected(t *testing.T) {
	t.Parallel()
	source := newFakeUpstream(t, "o", nil)
	conn, err := net.Dial("tcp", source.addr)
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
	m := startMember(t, "m", "", source.addr)
	random := make([]byte, controlplane.MaxSnapshotSize/2-10) // cannot be compressed
	_, _ = rand.Read(random)                                  // never fails
	text := "# " + hex.EncodeToString(random)
	versions := uint64(0)
	testutil.Until(t, "the slow subscriber is disconnected, and the other one has the latest version", func() bool {
		if source.state().Subscribers == 2 || versions == 0 {
			versions++
			source.publish(testFrame(versions, text))
		}
		return source.state().Subscribers == 1 && m.activeVersion() == versions
	})
	if versions == 0 {
		t.Error("nothing was published")
	}
}

// A member restarts while no origin answers. It could start without a configuration, or act on an old one without
// anybody seeing that. It begins with its cached snapshot, and says so and how old that is until an origin confirms it.
// A damaged cache file is not used.
func TestRestartFromCachedSnapshot(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	source := newFakeUpstream(t, "o", nil)
	source.publish(testFrame(4, "# four"))
	m := startMember(t, "m", dir, source.addr)
	if text := m.WaitReady(t.Context(), testutil.WaitTimeout); text != "acting on 1.4" {
		t.Error(text)
	}
	path := filepath.Join(dir, cacheFileName)
	testutil.Until(t, "the snapshot is stored", func() bool { _, err := os.Stat(path); return err == nil })
	m.stop()
	yesterday := time.Now().Add(-25 * time.Hour)
	if err := os.Chtimes(path, yesterday, yesterday); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the cached snapshot is in force", 4, m)
	text := m.WaitReady(t.Context(), 50*time.Millisecond)
	if !strings.Contains(text, "the last known one, 1.4, confirmed 25h0m") {
		t.Error(text)
	}
	if s, _ := m.State(); !s.FromCache || s.Ready || !strings.HasPrefix(s.CachedAge, "25h0m") {
		t.Errorf("state is %+v, want an unconfirmed snapshot of 25 hours ago", s)
	}
	m.stop()
	m = startMember(t, "m", dir, source.addr)
	if text := m.WaitReady(t.Context(), testutil.WaitTimeout); text != "acting on 1.4" {
		t.Error(text)
	}
	m.stop()
	stored, err := os.ReadFile(path)
	damaged := strings.Replace(string(stored), `"text":"`, `"text":"AAAA`, 1)
	if err := errors.Join(err, os.WriteFile(path, []byte(damaged), 0o600)); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, unreachableOrigin)
	text = m.WaitReady(t.Context(), 50*time.Millisecond)
	if !strings.Contains(text, "nothing is known from before") {
		t.Error(text)
	}
}
