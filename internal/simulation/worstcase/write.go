package worstcase

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/strictdecode"
)

// writtenSeeds is the number of seeds of the experiment that Experiment returns.
const writtenSeeds = 10

// Experiment returns the TOML of an experiment with the load and the faults of a case, for a file in the directory dir.
// Its base is the file of the experiment e that was searched.
func Experiment(e *experiment.Experiment, options Options, c Case, dir string) ([]byte, error) {
	base, err := relativePath(dir, e.Path)
	if err != nil {
		return nil, err
	}
	question := fmt.Sprintf("Found by a hunt (seed %d, %d tries): why does %s lose %.3f against %s?",
		options.Seed, options.Candidates, options.Policy, c.Loss, options.Baseline)
	head, err := toml.Marshal(map[string]any{
		"base":        base,
		"contestants": []string{options.Policy, options.Baseline},
		"seeds":       writtenSeeds,
		"question":    question,
	})
	if err != nil {
		return nil, err
	}
	var faults []map[string]any
	for _, f := range c.Faults {
		faults = append(faults, faultTable(f))
	}
	claims := []map[string]any{
		{"says": fmt.Sprintf("service of %s >= service of %s", options.Policy, options.Baseline), "on": "mean"},
		{"says": fmt.Sprintf("breaks of %s <= 0", options.Policy)},
	}
	tables, err := toml.Marshal(map[string]any{
		"world": map[string]any{"load": c.Load},
		"fault": faults,
		"claim": claims,
	})
	return slices.Concat(head, []byte("\n"), tables), err
}

// relativePath returns the path of a file relative to a directory.
func relativePath(dir, path string) (string, error) {
	from, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	to, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	return filepath.Rel(from, to)
}

// faultTable returns the TOML table of a fault, with only the keys that are set.
func faultTable(f experiment.Fault) map[string]any {
	table := map[string]any{"at": f.At, "what": f.Kind}
	for key, value := range map[string]strictdecode.Duration{"for": f.Duration, "every": f.Interval} {
		if value > 0 {
			table[key] = value
		}
	}
	for key, value := range map[string]float64{"share": f.Share, "times": f.Factor} {
		if value > 0 {
			table[key] = value
		}
	}
	if f.Zone != "" {
		table["zone"] = f.Zone
	}
	return table
}
