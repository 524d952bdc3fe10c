package controlplane

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse runs scripts that show which snapshots are accepted and with which errors others are rejected: "parse"
// parses the lines below it, "size N" a text of N bytes.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/snapshot/parse", func(_ *testing.T, d *datadriven.TestData) string {
		text := []byte(d.Input)
		if d.Cmd == "size" {
			text = textOfSize(d)
		}
		s, err := ParseSnapshot(text)
		if err != nil {
			return err.Error() + "\n"
		}
		return describeSnapshot(s) + "\n"
	})
}

func describeSnapshot(s *Snapshot) string {
	out := "accepted, " + fmt.Sprint(len(s.Text)) + " bytes"
	if d := s.Settings.Discovery; d != nil && d.Addr != nil {
		out += ", discovery.addr " + *d.Addr
	}
	if f := s.Settings.Fleet; f != nil && f.Sidecars != nil {
		out += fmt.Sprint(", fleet.sidecars ", *f.Sidecars)
	}
	if l := s.Settings.Log; l != nil && l.Level != nil {
		out += ", log.level " + *l.Level
	}
	if l := s.Settings.Limits; l != nil && l.MaxAttempts != nil {
		out += fmt.Sprint(", limits.max_attempts ", *l.MaxAttempts)
	}
	return out
}

func textOfSize(d *datadriven.TestData) []byte {
	var n int
	if _, err := fmt.Sscan(d.CmdArgs[0].Key, &n); err != nil {
		panic(err)
	}
	return bytes.Repeat([]byte("#"), n)
}

// ParseSnapshot accepts exactly the keys that can change while running according to settingRules.
func TestSettingRulesMatchParseSnapshot(t *testing.T) {
	example := map[string]string{
		"discovery.addr":        `"h:1"`,
		"fleet.sidecars":        "1",
		"log.level":             `"info"`,
		"limits.max_attempts":   "1",
		"limits.second_copies":  "false",
		"price.cross_zone":      "0.5",
		"price.open":            "0.0",
		"price.handshake":       "1.0",
		"price.probe":           "0.1",
		"class.NAME.worth":      "2.0",
		"class.NAME.late_share": "0.5",
		"tenant.NAME.fraction":  "0.25",
	}
	for _, k := range SettingRules() {
		if (k.EffectiveFrom == "") == (k.FixedReason == "") {
			t.Errorf("%s: EffectiveFrom is %q and FixedReason is %q, want exactly one of them", k.Key,
				k.EffectiveFrom, k.FixedReason)
		}
		value, ok := example[k.Key]
		if ok != (k.EffectiveFrom != "") {
			t.Errorf("%s: the map example has a value for this key: %t, want %t", k.Key, ok, !ok)
			continue
		}
		if !ok {
			value = "1"
		}
		if k.Key == "fleet" {
			k.Key = "fleet.listen"
		}
		_, err := ParseSnapshot([]byte(k.Key + " = " + value))
		if (err == nil) != ok {
			t.Errorf("%s: ParseSnapshot returned error %v, want it to accept the key: %t", k.Key, err, ok)
		}
	}
}
