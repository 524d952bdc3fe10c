package controlplane

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/testutil"
)

func testRevision(version uint64) Revision {
	return Revision{Epoch: 3, Version: version, Hash: HashText([]byte("# text\n"))}
}

func testFrame() Frame {
	return Frame{Cluster: "booking", Revision: testRevision(17), Text: []byte("# text\n")}
}

func testReport() Report {
	return Report{
		Members:        5,
		Latest:         testRevision(17),
		Active:         []RevisionCount{{Revision: testRevision(17), Count: 3}, {Revision: testRevision(16), Count: 1}},
		OtherRevisions: 1,
		Laggards: []Laggard{
			{
				Name:        "m1",
				Active:      testRevision(16),
				Reason:      ReasonRejected,
				Error:       "2:1: log.level",
				Descendants: 2,
			},
			{Name: "m2", Active: Revision{}, Reason: ReasonBehind},
			{Name: "m3", Active: Revision{Epoch: 3, Version: 15}, Reason: ReasonDisconnected},
		},
		UnnamedLaggards: 4,
	}
}

// The JSON encoding of the messages between members, origins and operators stays the same.
func TestConfigurationMessageFormatIsStable(t *testing.T) {
	cached := CachedSnapshot{Frame: testFrame(), Highest: testRevision(18)}
	stats := FollowerStats{
		Published:      testRevision(17),
		Active:         testRevision(16),
		Highest:        testRevision(18),
		FromCache:      true,
		ConfirmedAt:    1,
		Rejected:       2,
		Stale:          3,
		Conflicts:      4,
		Corrupt:        5,
		Foreign:        6,
		Fetches:        7,
		DroppedReports: 8,
	}
	for name, v := range map[string]any{
		"stamp":          testRevision(17),
		"frame":          testFrame(),
		"report":         testReport(),
		"kept":           cached,
		"follower-stats": stats,
	} {
		t.Run(name, func(t *testing.T) {
			testutil.CheckFieldsSet(t, v)
			testutil.CheckExplicitNames(t, "json", v)
			text := testutil.IndentedJSON(t, v)
			testutil.Golden(t, "format/"+name+".json", text)
			empty, err := json.Marshal(reflect.New(reflect.TypeOf(v)).Interface())
			if err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, "format/"+name+"-empty.json", append(empty, '\n'))
			if name == "follower-stats" { // Highest and ConfirmedAt are not encoded, so decoding cannot restore them.
				return
			}
			read := reflect.New(reflect.TypeOf(v))
			err = json.Unmarshal(text, read.Interface())
			if err != nil || !reflect.DeepEqual(read.Elem().Interface(), v) {
				t.Errorf("decoding returned error %v and\n%+v, want no error and\n%+v", err, read.Elem(), v)
			}
		})
	}
}

// Origins send each other reports in CBOR, with the field names of the JSON encoding.
func TestReportFormatInCBORIsStable(t *testing.T) {
	for name, report := range map[string]Report{"report": testReport(), "report-empty": {}} {
		data, err := cbor.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		testutil.GoldenBinary(t, "format/"+name+".cbor.hex", data)
		var read Report
		if err := cbor.Unmarshal(data, &read); err != nil || !reflect.DeepEqual(read, report) {
			t.Errorf("decoding returned error %v and\n%+v, want no error and\n%+v", err, read, report)
		}
	}
}

// The names of reasons in reports stay the same.
func TestReasonNamesAreStable(t *testing.T) {
	for reason, want := range map[LaggardReason]string{
		ReasonBehind:       "behind",
		ReasonDisconnected: "cut",
		ReasonRejected:     "refused",
		ReasonWaiting:      "waiting",
	} {
		if string(reason) != want {
			t.Errorf("the name of a reason in reports is %q, want %q", reason, want)
		}
	}
}

// Each key of a snapshot is decoded into the field for this key.
func TestSnapshotFormatIsStable(t *testing.T) {
	text := `[discovery]
addr = "10.0.0.2:8500"
[fleet]
sidecars = 590
[log]
level = "warn"
[limits]
max_attempts = 3
second_copies = true
[price]
cross_zone = 1.5
open = 2.5
handshake = 3.5
probe = 4.5
[class.look]
worth = 5.5
late_share = 0.5
[tenant.one]
fraction = 0.25
`
	snapshot, err := ParseSnapshot([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	testutil.CheckFieldsSet(t, snapshot.Settings)
	testutil.CheckExplicitNames(t, "toml", snapshot.Settings)
	decoded, err := toml.Marshal(snapshot.Settings)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "format/settings.toml", decoded)
	got := &snapshot.Settings
	for key, equal := range map[string]bool{
		"discovery.addr":        *got.Discovery.Addr == "10.0.0.2:8500",
		"fleet.sidecars":        *got.Fleet.Sidecars == 590,
		"log.level":             *got.Log.Level == "warn",
		"limits.max_attempts":   *got.Limits.MaxAttempts == 3,
		"limits.second_copies":  *got.Limits.SecondCopies,
		"price.cross_zone":      *got.Price.CrossZone == 1.5,
		"price.open":            *got.Price.Open == 2.5,
		"price.handshake":       *got.Price.Handshake == 3.5,
		"price.probe":           *got.Price.Probe == 4.5,
		"class.look.worth":      *got.Class["look"].Worth == 5.5,
		"class.look.late_share": *got.Class["look"].LateShare == 0.5,
		"tenant.one.fraction":   *got.Tenant["one"].Fraction == 0.25,
	} {
		if !equal {
			t.Errorf("the field for the key %s does not have the value that the text gives the key", key)
		}
	}
}

// The text form of a revision, which operators see, stays the same.
func TestRevisionTextIsStable(t *testing.T) {
	for want, revision := range map[string]Revision{"none": {}, "3.17": testRevision(17)} {
		if got := revision.String(); got != want {
			t.Errorf("String of %#v returned %q, want %q", revision, got, want)
		}
	}
}
