// Package capacity measures the resources that the control plane uses in each role, in clusters of different sizes
// without application traffic (internal/testcluster/hollow). Experiments are read from files. Their results are rows of
// a table, to which internal/simulation/slope fits slopes over the cluster size. See docs/design/capacity.md.
package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// Roles for which figures are measured.
const (
	// RoleLeaf subscribes to another member, and has no subscribers.
	RoleLeaf = "sidecar"
	// RoleRoot gets its list directly from discovery.
	RoleRoot = "asks"
	// RoleRelay subscribes to another member, and has subscribers.
	RoleRelay = "followed"
	// RoleDiscovery is the emulated discovery service.
	RoleDiscovery = "discovery"
	// RoleAll stands for the mean over all members, or for the whole process.
	RoleAll = "all"
)

// Result is one figure of a role, at a size, in a phase of an experiment. A file of results is a JSON array.
type Result struct {
	Experiment string `json:"experiment"`
	// Size is the number of members.
	Size int `json:"size"`
	// Role is one of the Role constants.
	Role string `json:"role"`
	// Phase is start, known, quiet, day, rack, zone, region or restart.
	Phase string `json:"phase"`
	// Figure is the name of the figure, for example "bytes sent".
	Figure string `json:"figure"`
	// Unit is "B/s", "1/s", "s", "B", "1" and the like.
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// N is the number of members or runs that Value is a mean of.
	N int `json:"n"`
}

// ReadResults reads a file of results. Its error names the file and, if a result is invalid, its row.
func ReadResults(path string) ([]Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []Result
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, r := range list {
		if err := r.validate(); err != nil {
			return nil, fmt.Errorf("%s: row %d: %w", path, i+1, err)
		}
	}
	return list, nil
}

// validate returns an error if a required key is missing or empty, or if Size or N is below 1.
func (r Result) validate() error {
	switch {
	case r.Experiment == "":
		return errors.New("experiment is missing or empty")
	case r.Role == "":
		return errors.New("role is missing or empty")
	case r.Phase == "":
		return errors.New("phase is missing or empty")
	case r.Figure == "":
		return errors.New("figure is missing or empty")
	case r.Size < 1:
		return fmt.Errorf("size is %d, below 1", r.Size)
	case r.N < 1:
		return fmt.Errorf("n is %d, below 1", r.N)
	}
	return nil
}

// WriteResults writes results as a JSON array with one result per line.
func WriteResults(w io.Writer, list []Result) error {
	open := "[\n"
	for _, r := range list {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%s%s", open, line); err != nil {
			return err
		}
		open = ",\n"
	}
	if len(list) == 0 {
		_, err := io.WriteString(w, "[]\n")
		return err
	}
	_, err := io.WriteString(w, "\n]\n")
	return err
}

// Replace returns the newer results, together with the older results whose combination of experiment and size has no
// newer result. The returned list is sorted by experiment and size.
func Replace(older, newer []Result) []Result {
	type run struct {
		experiment string
		size       int
	}
	replaced := map[run]bool{}
	for _, r := range newer {
		replaced[run{r.Experiment, r.Size}] = true
	}
	list := slices.DeleteFunc(slices.Clone(older), func(r Result) bool { return replaced[run{r.Experiment, r.Size}] })
	list = append(list, newer...)
	slices.SortStableFunc(list, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Experiment, b.Experiment), cmp.Compare(a.Size, b.Size))
	})
	return list
}
