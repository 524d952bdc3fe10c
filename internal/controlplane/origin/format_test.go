package origin

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/testutil"
)

func testRevision(version uint64) controlplane.Revision {
	return controlplane.Revision{Epoch: 3, Version: version, Hash: controlplane.HashText([]byte("# text\n"))}
}

func testReport() controlplane.Report {
	return controlplane.Report{
		Members:        5,
		Latest:         testRevision(17),
		Active:         []controlplane.RevisionCount{{Revision: testRevision(17), Count: 3}},
		OtherRevisions: 1,
		Laggards: []controlplane.Laggard{{
			Name:        "m1",
			Active:      testRevision(16),
			Reason:      controlplane.ReasonRejected,
			Error:       "why",
			Descendants: 2,
		}},
		UnnamedLaggards: 4,
	}
}

func testBootstrapConfig() BootstrapConfig {
	return BootstrapConfig{Cluster: "booking", Epoch: 3, Origins: []string{"o1", "o2", "o3"}}
}

// goldenRecords compares records of a store, in order, with a golden file.
func goldenRecords(t *testing.T, name string, records []Record) {
	t.Helper()
	var text bytes.Buffer
	for _, r := range records {
		if r.Delete {
			fmt.Fprintf(&text, "delete %s\n", r.Key)
			continue
		}
		fmt.Fprintf(&text, "put %s\n%s", r.Key, hex.Dump(r.Value))
	}
	testutil.Golden(t, name, text.Bytes())
}

// The CBOR encoding of entries of the log, records of the store and messages stays the same.
func TestOriginEntryFormatIsStable(t *testing.T) {
	hash := controlplane.HashText([]byte("# text\n"))
	report := testReport()
	for name, v := range map[string]any{
		"change": logEntry{ID: "push-1", BaseVersion: 16, Text: []byte("# text\n")},
		"machine": stateMachine{
			Version: 17, Hash: hash, Text: []byte("# text\n"),
			Outcomes: []changeOutcome{{ID: "push-1", Version: 17, Hash: hash}, {ID: "push-2", Version: 0, Hash: hash}},
		},
		"founding": testBootstrapConfig(),
		"root": rootRecord{
			WriteNumber:   9,
			WriteNumbers:  []uint64{9, 300, 70000},
			Term:          4,
			Vote:          2,
			Commit:        11,
			SnapshotIndex: 10,
			SnapshotTerm:  3,
			LastIndex:     12,
			TermRuns:      []termRun{{Index: 11, Term: 3}, {Index: 12, Term: 4}}, RollbackReason: "why",
		},
		"envelope": envelope{
			BootstrapKey: []byte("0123456789abcdef"),
			From:         2,
			WriteNumbers: []uint64{9, 300, 70000},
			RolledBack:   true,
			Report:       &report,
			Raft:         []byte{1, 2, 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			testutil.CheckFieldsSet(t, v)
			data := encode(v)
			testutil.GoldenBinary(t, name+".cbor.hex", data)
			read := reflect.New(reflect.TypeOf(v))
			if err := decode(data, read.Interface()); err != nil || !reflect.DeepEqual(read.Elem().Interface(), v) {
				t.Errorf("decoding returned error %v and\n%+v, want\n%+v", err, read.Elem(), v)
			}
			testutil.GoldenBinary(t, name+"-empty.cbor.hex", encode(reflect.Zero(reflect.TypeOf(v)).Interface()))
		})
	}
}

// The encoding of a message between origins stays the same: the envelope and its checksum, once with a message of raft
// and a report and once without both. Another origin can decode it.
func TestOriginMessageFormatIsStable(t *testing.T) {
	bootstrap := testBootstrapConfig()
	sender := &Node{
		cfg:            Config{BootstrapConfig: bootstrap, Self: "o2"},
		id:             2,
		bootstrapKey:   bootstrap.key(),
		writeNumber:    300,
		writeNumbers:   []uint64{9, 0, 70000},
		rollbackReason: "why",
	}
	receiver := &Node{cfg: Config{BootstrapConfig: bootstrap, Self: "o1"}, id: 1, bootstrapKey: bootstrap.key()}
	kind, from, to := raftpb.MsgHeartbeat, uint64(2), uint64(1)
	term, index, context := uint64(4), uint64(11), []byte("context")
	message := &raftpb.Message{Type: &kind, From: &from, To: &to, Term: &term, Commit: &index, Context: context}
	report := testReport()
	for name, data := range map[string][]byte{
		"message":              sender.encodeEnvelope(message, &report),
		"message-without-raft": sender.encodeEnvelope(nil, nil),
	} {
		testutil.GoldenBinary(t, name+".hex", data)
		e, m, err := receiver.decodeEnvelope(data)
		if err != nil || e.From != 2 || !slices.Equal(e.WriteNumbers, []uint64{9, 300, 70000}) || !e.RolledBack {
			t.Fatalf("%s: decoded as %+v, error %v; want sender 2, write numbers 9, 300 and 70000, rolled back",
				name, e, err)
		}
		if (m != nil) != (name == "message") || m != nil && (m.GetCommit() != 11 || m.GetTerm() != 4) {
			t.Errorf("%s: decoded raft message %v, want one with commit 11 and term 4 for \"message\" and none for "+
				"the other name", name, m)
		}
	}
	testutil.GoldenBinary(t, "founding-key.hex", []byte(bootstrap.key()))
}

// The records that a bootstrap writes, and the keys of the parts of entries and snapshots, stay the same.
func TestOriginBootstrapRecordsAreStable(t *testing.T) {
	goldenRecords(t, "founded.txt", bootstrapRecords(testBootstrapConfig()))
	if got, want := entryKey(0x1f, 3), "e/000000000000001f/0000000000000003"; got != want {
		t.Errorf("the key of entry 31 of term 3 is %s, want %s", got, want)
	}
	if got, want := snapshotKey(0x1f), "s/000000000000001f"; got != want {
		t.Errorf("the key of the snapshot at index 31 is %s, want %s", got, want)
	}
	long := bytes.Repeat([]byte("0123456789"), 13_000)
	parts := splitValue("s/1", long)
	records := map[string][]byte{}
	for i, p := range parts {
		if want := fmt.Sprintf("s/1/%x", i); p.Key != want {
			t.Errorf("part %d has the key %s, want %s", i, p.Key, want)
		}
		records[p.Key] = p.Value
	}
	if whole, ok := joinValue(records, "s/1"); len(parts) != 3 || !ok || !bytes.Equal(whole, long) {
		t.Errorf("the value has %d parts, want 3; joining them returns the original value: %t, want true",
			len(parts), ok && bytes.Equal(whole, long))
	}
}

// The records that one origin writes to its store from its bootstrap to an accepted push stay the same, and another
// process can start from them.
func TestOriginStoreFormatIsStable(t *testing.T) {
	bootstrap := BootstrapConfig{Cluster: "booking", Epoch: 3, Origins: []string{"o1"}}
	state, err := NewBootstrappedState(bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{BootstrapConfig: bootstrap, Self: "o1", Seed: 7}
	node, actions, err := NewNode(config, state, 0)
	if err != nil {
		t.Fatal(err)
	}
	var written []Record
	var results []Result
	execute := func(list []Action) {
		for _, a := range list {
			switch a := a.(type) {
			case Persist:
				written = append(written, a.Records...)
				state.Write(a)
			case Result:
				results = append(results, a)
			}
		}
	}
	execute(actions)
	now := time.Duration(0)
	for range 60 {
		now += 100 * time.Millisecond
		execute(node.Handle(now, Tick{}))
	}
	execute(node.Handle(now, Propose{ID: "push-1", BaseVersion: 0, Text: []byte("# text\n")}))
	execute(node.Handle(now, Propose{ID: "push-2", BaseVersion: 0, Text: []byte("# other\n")}))
	want := []Result{
		{ID: "push-1", Outcome: OutcomeAccepted, Revision: testRevision(1)},
		{
			ID: "push-2", Outcome: OutcomeConflict, Revision: testRevision(1),
			Error: "made after version 0, and 1 is the latest",
		},
	}
	if !reflect.DeepEqual(results, want) {
		t.Fatalf("the results of the two pushes are %+v, want %+v", results, want)
	}
	goldenRecords(t, "store.txt", written)

	again, _, err := NewNode(config, state, 0)
	if err != nil {
		t.Fatal(err)
	}
	for now = 0; now < 6*time.Second; now += 100 * time.Millisecond {
		again.Handle(now, Tick{})
	}
	if frame, ok := again.Frame(); !ok || frame.Revision != testRevision(1) || string(frame.Text) != "# text\n" ||
		frame.Cluster != "booking" {
		t.Errorf("after the restart the frame is %+v (ok %t), want revision %v, cluster booking and text \"# text\\n\"",
			frame, ok, testRevision(1))
	}
}

// The JSON formats of Status, Result and BootstrapConfig stay the same.
func TestOriginStatusFormatIsStable(t *testing.T) {
	status := Status{
		Self:       "o1",
		Epoch:      3,
		Role:       RoleFollower,
		Leader:     "o2",
		Revision:   testRevision(17),
		Ahead:      testRevision(18),
		RolledBack: []string{"o3"},
		Report:     testReport(), ForeignMessages: 1, CorruptMessages: 2,
	}
	answer := Result{ID: "push-1", Outcome: OutcomeAccepted, Revision: testRevision(17), Error: "why"}
	for name, v := range map[string]any{"status": status, "answer": answer, "founding": testBootstrapConfig()} {
		testutil.CheckFieldsSet(t, v)
		testutil.CheckExplicitNames(t, "json", v)
		for file, value := range map[string]any{
			name + ".json":       v,
			name + "-empty.json": reflect.Zero(reflect.TypeOf(v)).Interface(),
		} {
			text := testutil.IndentedJSON(t, value)
			testutil.Golden(t, file, text)
			read := reflect.New(reflect.TypeOf(v))
			err := json.Unmarshal(text, read.Interface())
			if err != nil || !reflect.DeepEqual(read.Elem().Interface(), value) {
				t.Errorf("%s: decoding returned error %v and\n%+v, want\n%+v", file, err, read.Elem(), value)
			}
		}
	}
}

// The texts with which outcomes and roles are sent stay the same.
func TestOutcomeAndRoleNamesAreStable(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		OutcomeAccepted: "accepted",
		OutcomeConflict: "conflict",
		OutcomeRejected: "refused",
		OutcomeUnknown:  "unknown",
		OutcomeNotFound: "missing",
		OutcomeCurrent:  "current",
	} {
		if string(outcome) != want {
			t.Errorf("the outcome is sent as %q, want %q", outcome, want)
		}
	}
	for role, want := range map[Role]string{
		RoleStarting:   "starting",
		RoleLeader:     "leads",
		RoleFollower:   "follows",
		RoleNoLeader:   "no majority",
		RoleRolledBack: "rolled back",
	} {
		if string(role) != want {
			t.Errorf("the role is sent as %q, want %q", role, want)
		}
	}
}
