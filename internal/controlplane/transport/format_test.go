package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/testutil"
)

// formatRevision returns a revision of epoch 3 for the format tests.
func formatRevision(version uint64) controlplane.Revision {
	return controlplane.Revision{Epoch: 3, Version: version, Hash: controlplane.HashText([]byte("# text\n"))}
}

func formatFrame(version uint64) controlplane.Frame {
	return controlplane.Frame{Cluster: "f", Revision: formatRevision(version), Text: []byte("# text\n")}
}

func formatReport() controlplane.Report {
	return controlplane.Report{
		Members:        5,
		Latest:         formatRevision(17),
		Active:         []controlplane.RevisionCount{{Revision: formatRevision(17), Count: 3}},
		OtherRevisions: 1,
		Laggards: []controlplane.Laggard{{
			Name:        "m1",
			Active:      formatRevision(16),
			Reason:      controlplane.ReasonRejected,
			Error:       "why",
			Descendants: 2,
		}},
		UnnamedLaggards: 4,
	}
}

// checkGolden compares the JSON of v, whose fields must all be set, and of v's zero value with the golden files. It
// also checks that the JSON of v can be decoded.
func checkGolden(t *testing.T, name string, v any) {
	t.Helper()
	testutil.CheckFieldsSet(t, v)
	testutil.CheckExplicitNames(t, "json", v)
	testutil.Golden(t, name+".json", testutil.IndentedJSON(t, v))
	testutil.Golden(t, name+"-empty.json", testutil.IndentedJSON(t, reflect.Zero(reflect.TypeOf(v)).Interface()))
	read := reflect.New(reflect.TypeOf(v))
	if err := json.Unmarshal(testutil.IndentedJSON(t, v), read.Interface()); err != nil {
		t.Errorf("%s: decoding returned error %v, want none", name, err)
	}
}

// The JSON formats of a line of a subscription, of the response with the latest snapshot, and of a member's state are
// stable.
func TestSubscriptionAndStateFormatIsStable(t *testing.T) {
	revision, frame := formatRevision(17), formatFrame(17)
	checkGolden(t, "line", line{
		Path:             []string{"m1", "o1"},
		Revision:         &revision,
		NonParticipating: true,
		Frame:            &frame,
		Packed:           []byte{1, 2},
	})
	checkGolden(t, "shown", ShowResponse{
		Result: origin.Result{ID: "id", Outcome: origin.OutcomeCurrent, Revision: revision, Error: "why"},
		Frame:  frame,
	})
	checkGolden(t, "member-state", MemberState{
		FollowerStats: controlplane.FollowerStats{
			Published:      revision,
			Active:         formatRevision(16),
			FromCache:      true,
			Rejected:       2,
			Stale:          3,
			Conflicts:      4,
			Corrupt:        5,
			Foreign:        6,
			Fetches:        7,
			DroppedReports: 8,
		},
		Highest:        formatRevision(18),
		Ready:          true,
		CachedAge:      "1s",
		UnconfirmedFor: "2s",
		Upstream:       "m1",
		UpstreamAddr:   "10.0.0.4:7946",
		UpstreamCount:  9,
		BytesReceived:  10,
		Report:         formatReport(),
		Server: serverState{
			Path:            []string{"m2", "o1"},
			UpstreamHealthy: true,
			Subscribers:     11,
			Rejected:        12,
			OtherCluster:    13,
			BytesSent:       14,
		},
	})
	testutil.CheckExplicitNames(t, "json", serverState{})
}

// A subscription starts with a line with the upstream's path and revision, followed by the snapshot. The path is sent
// again when the origin stops participating, and each later snapshot when it is published.
func TestSubscriptionLineFormatIsStable(t *testing.T) {
	upstream := newFakeUpstream(t, "m1", nil)
	upstream.setUpstream([]string{"o1"})
	upstream.publish(formatFrame(17))
	url := "http://" + upstream.addr + "/config/watch?epoch=0&version=0&hash="
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Config-Fleet", "f")
	request.Header.Set("X-Config-For", "m2")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("response has status %s, want 200 OK", response.Status)
	}
	reader := bufio.NewReader(response.Body)
	next := func() []byte {
		t.Helper()
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			if len(line) > 1 { // not a keep-alive
				return line
			}
		}
	}
	got := append(next(), next()...)
	upstream.setParticipating(false)
	got = append(got, next()...)
	upstream.publish(formatFrame(18))
	got = append(got, next()...)
	testutil.Golden(t, "watch.jsonl", got)
}

// A text that gzip makes shorter is sent compressed, and the frame without its text. The compressed bytes are not
// compared, since they depend on the version of the library.
func TestPackedLineFormatIsStable(t *testing.T) {
	text := bytes.Repeat([]byte("# the same again\n"), 100)
	packed := pack(controlplane.Frame{Cluster: "f", Revision: formatRevision(17), Text: text})
	if len(packed.Packed) == 0 || packed.Frame == nil || packed.Frame.Text != nil {
		t.Fatalf("pack returns %+v, want a compressed text and a frame without text", packed)
	}
	if err := packed.unpack(); err != nil || !bytes.Equal(packed.Frame.Text, text) {
		t.Errorf("decompressed text is %q, error %v, want %q", packed.Frame.Text, err, text)
	}
	stored, err := os.ReadFile("testdata/packed-line.json")
	if err != nil {
		t.Fatal(err)
	}
	var read line
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	err = read.unpack()
	if err != nil || !bytes.Equal(read.Frame.Text, text) || read.Frame.Revision != formatRevision(17) {
		t.Errorf("frame in testdata is %+v, error %v, want revision %v with text %q",
			read.Frame, err, formatRevision(17), text)
	}
}

// recorder is an HTTP handler that records requests and responds with a fixed status and body.
type recorder struct {
	lines    strings.Builder
	status   int
	response string
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body) // after an error, the body differs from the golden file
	fmt.Fprintf(&r.lines, "%s %s\nX-Config-Fleet: %s\nX-Config-For: %s\n%s\n\n", request.Method, request.URL,
		request.Header.Get("X-Config-Fleet"), request.Header.Get("X-Config-For"), body)
	w.WriteHeader(r.status)
	_ = writeText(w, r.response)
}

// startRecorder starts a server with a recorder and returns the recorder and the server's address.
func startRecorder(t *testing.T, status int, response string) (*recorder, string) {
	t.Helper()
	r := &recorder{status: status, response: response}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, server.Listener.Addr().String()
}

// Method, path, headers and body of a member's requests to other members and origins are stable.
func TestMemberRequestFormatIsStable(t *testing.T) {
	c := &peerClient{cluster: "f", self: "m1", client: newHTTPClient(nil, responseTimeout)}
	defer c.client.CloseIdleConnections()
	r, addr := startRecorder(t, http.StatusOK,
		`{"frame":{"fleet":"f","stamp":{"epoch":3,"version":17,"hash":"h"},"text":"IyB0ZXh0Cg=="}}`)
	watch, err := c.subscribe(t.Context(), []target{{addr: addr}}, formatRevision(17))
	if err != nil {
		t.Fatal(err)
	}
	watch.close()
	frame, err := c.fetchSnapshot(t.Context(), addr)
	if err != nil || string(frame.Text) != "# text\n" || frame.Revision.Version != 17 {
		t.Errorf("fetched frame is %+v, error %v, want version 17 with text \"# text\\n\"", frame, err)
	}
	r.status, r.response = http.StatusNoContent, ""
	if err := c.sendReport(t.Context(), addr, formatReport()); err != nil {
		t.Error(err)
	}
	testutil.Golden(t, "member-requests.txt", []byte(r.lines.String()))
}

// Method, path, headers and body of the requests that the operator's commands send to an origin are stable.
func TestOperatorRequestFormatIsStable(t *testing.T) {
	r, addr := startRecorder(t, http.StatusOK,
		`{"answer":{"id":"id","outcome":"current","stamp":{"epoch":3,"version":17,"hash":"h"}}}`)
	c := NewClient("f", addr)
	defer c.peer.client.CloseIdleConnections()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
	}
	_, err := c.Push(t.Context(), "push 1", 16, []byte("# text\n"), false)
	check(err)
	// Origins serve the query for the outcome of a push. Client has no method for it, since no command sends it.
	var outcome origin.Result
	err = c.call(t.Context(), http.MethodGet, pushPath+"?id=push+1", nil, &outcome)
	check(err)
	_, err = c.Show(t.Context(), false)
	check(err)
	_, err = c.Show(t.Context(), true)
	check(err)
	_, err = c.Status(t.Context())
	check(err)
	testutil.Golden(t, "operator-requests.txt", []byte(r.lines.String()))
}

// The paths and headers are stable, because members and origins of older versions use them.
func TestConfigurationPathNamesAreStable(t *testing.T) {
	got := []string{
		clusterHeader, senderHeader, watchPath, reportPath, snapshotPath, alivePath,
		messagePath, pushPath, showPath, statusPath,
	}
	want := []string{
		"X-Config-Fleet", "X-Config-For", "/config/watch", "/config/report", "/config/snapshot", "/config/alive",
		"/origin/message", "/config/push", "/config/show", "/config/status",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("headers and paths are %q, want %q", got, want)
	}
}

// The HTTP status for each outcome is stable.
func TestOutcomeStatusIsStable(t *testing.T) {
	want := map[origin.Outcome]int{
		"accepted": 200, "current": 200, "conflict": 409, "refused": 422, "missing": 404, "unknown": 504,
	}
	if !reflect.DeepEqual(outcomeStatus, want) {
		t.Errorf("status codes are %v, want %v", outcomeStatus, want)
	}
}

// The name and the bytes of the cache file are stable, and the file can be loaded again.
func TestCacheFileFormatIsStable(t *testing.T) {
	dir := t.TempDir()
	cached := &controlplane.CachedSnapshot{Frame: formatFrame(17), Highest: formatRevision(18)}
	if err := saveCachedSnapshot(dir, cached); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != "last-known.json" {
		t.Fatalf("directory has %v, error %v, want only last-known.json", entries, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "last-known.json"))
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "last-known.json", text)
	read, _, err := loadCachedSnapshot("testdata")
	if err != nil || !reflect.DeepEqual(read, cached) {
		t.Errorf("loadCachedSnapshot returns\n%+v, error %v, want\n%+v", read, err, cached)
	}
}
