package controlplane_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

// The design note has each kind with the instant from which it holds, or why it cannot change, and the bounds as they
// are.
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
			t.Errorf("the page has no row %s", row)
		}
	}
	if rows != len(rules) {
		t.Errorf("the page has %d rows of rules, and there are %d", rows, len(rules))
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
			t.Errorf("the page does not say that %s is %d: %q", name, value, line)
		}
	}
}
