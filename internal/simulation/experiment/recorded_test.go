package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/testutil"
)

// Recorded traffic replaces the randomly drawn requests. The experiment's hash covers the content of the file of
// recorded traffic. If that file is invalid or missing, the error names it.
func TestRecordedTraffic(t *testing.T) {
	dir := t.TempDir()
	text := strings.Replace(testutil.Experiment("?", "hazelwing", "random", 1), "load = 0.6\n", "", 1)
	for _, c := range emulator.BookingClasses {
		text += "[world.class." + c.Name + "]\nshare = 1.0\nwork = \"1ms\"\naim = \"1s\"\ndeadline = \"1s\"\n"
	}
	text += "[world.clients]\ntraffic = \"day.jsonl\"\nskew = \"2s\"\nsession = 3.0\nthink = " +
		"\"1s\"\n[world.host]\ncores = 0.5\nperiod = \"100ms\"\nrequest = \"1ms\"\n" +
		"[world.network]\nmultiplexed = true\n[world.list]\nnotice = \"1s\"\nreorder = true\n"
	path := filepath.Join(dir, "x.toml")
	record := func(seed uint64) int {
		day := emulator.Generate(seed, 50, 2*time.Second)
		var b bytes.Buffer
		if err := day.Write(&b); err != nil {
			t.Fatal(err)
		}
		for name, text := range map[string]string{path: text, filepath.Join(dir, "day.jsonl"): b.String()} {
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return len(day.Requests)
	}
	n := record(1)
	e, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	w := e.Points[0].Config
	if w.Clients.ClockSkew != 2*time.Second || w.Clients.SessionLength != 3 ||
		w.Host.QuotaPeriod != 100*time.Millisecond || !w.Network.Multiplexed ||
		w.EndpointUpdates.DetectionDelay != time.Second || !w.EndpointUpdates.Reorder {
		t.Errorf("configuration is %+v, want ClockSkew 2s, SessionLength 3, QuotaPeriod 100ms, Multiplexed true, "+
			"DetectionDelay 1s and Reorder true", w)
	}
	runs, err := e.Execute(t.Context(), filepath.Join(dir, "run"), 1, func(int, int) {})
	if err != nil || runs[0].Result.Requests != n || runs[0].Result.MaxProcessorUse <= 0 {
		t.Errorf("execution gave %+v, want %d requests and processor use above 0; error %v, want none", runs, n, err)
	}
	record(2)
	if again, err := Load(path); err != nil {
		t.Errorf("Load with other recorded traffic: error %v, want none", err)
	} else if again.Hash == e.Hash {
		t.Errorf("hash is %s with both recorded traffics, want different hashes", e.Hash)
	}
	for _, damage := range []func() error{
		func() error { return os.WriteFile(filepath.Join(dir, "day.jsonl"), []byte("{}"), 0o600) },
		func() error { return os.Remove(filepath.Join(dir, "day.jsonl")) },
	} {
		if err := damage(); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "day.jsonl") {
			t.Errorf("loading with invalid or missing traffic gave error %v, want one that names day.jsonl", err)
		}
	}
}
