package controlplane_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

// The design page lists each key of settingRules with the time from which a change takes effect, or the reason why the
// key cannot change, and it states the limits with their current values.
func TestDesignPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/design/controlplane.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	rows := 0
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "| `") && strings.Count(line, "|") == 3 {
			rows++
		}
	}
	rules := controlplane.SettingRules()
	for _, k := range rules {
		row := fmt.Sprintf("| `%s` | %s |\n", k.Key, k.EffectiveFrom)
		if k.FixedReason != "" {
			row = fmt.Sprintf("| `%s` | cannot: %s |\n", k.Key, k.FixedReason)
		}
		if !strings.Contains(page, row) {
			t.Errorf("the page has no row %q", row)
		}
	}
	if rows != len(rules) {
		t.Errorf("the page has %d rows of rules, want %d", rows, len(rules))
	}
	for name, value := range map[string]int{
		"MaxSnapshotSize":    controlplane.MaxSnapshotSize,
		"MaxReportSize":      controlplane.MaxReportSize,
		"MaxRevisionCounts":  controlplane.MaxRevisionCounts,
		"MaxLaggards":        controlplane.MaxLaggards,
		"MaxErrorLength":     controlplane.MaxErrorLength,
		"MaxOrigins":         origin.MaxOrigins,
		"MaxPendingRequests": origin.MaxPendingRequests,
		"MaxOutcomes":        origin.MaxOutcomes,
		"MaxIDLength":        origin.MaxIDLength,
		"MaxUncommittedSize": origin.MaxUncommittedSize,
		"MaxMessageSize":     origin.MaxMessageSize,
	} {
		before, _, ok := strings.Cut(page, "(`"+name+"`)")
		line := before[strings.LastIndexByte(before, '\n')+1:]
		if !ok || !strings.Contains(line, fmt.Sprint(value, " ")) {
			t.Errorf("the page does not give the limit %s as %d; its line before the name is %q", name, value, line)
		}
	}
}
