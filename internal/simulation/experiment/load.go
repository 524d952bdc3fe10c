package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/simulator"
	"hazelwing/internal/strictdecode"
)

const (
	maxPoints = 1000
	maxSeeds  = 1000
	// maxBaseDepth is how many files may be the base of each other.
	maxBaseDepth = 8
	// hashLength is the length of an experiment's hash in bytes.
	hashLength = 8
)

// Experiment is a file that was read and can be executed.
type Experiment struct {
	File
	Path string
	Name string
	// Hash is of all that is executed: the keys of the file and its bases, and the recorded traffic.
	Hash   string
	Points []Point
}

// Point is a point of the sweep.
type Point struct {
	// Factors are "name = value", in order of the names.
	Factors []string
	Config  simulator.Config
}

// tomlTable is a TOML document: its tables, arrays and values by key.
type tomlTable = map[string]any

// Load reads an experiment.
func Load(path string) (*Experiment, error) {
	document, err := loadDocument(path, maxBaseDepth)
	if err != nil {
		return nil, err
	}
	e := &Experiment{Path: path, Name: strings.TrimSuffix(filepath.Base(path), ".toml")}
	if e.Hash, err = hashOf(document); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if e.File, err = decodeDocument(document); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if e.Points, err = expandSweep(document, e.Sweep); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, c := range e.Claims {
		if _, err := c.parse(e.Policies); err != nil {
			return nil, fmt.Errorf("%s: claim %d, %q: %w", path, i+1, c.Text, err)
		}
	}
	return e, nil
}

// hashOf is the hash of a document and the recorded traffic that it names.
func hashOf(document tomlTable) (string, error) {
	text, err := toml.Marshal(document)
	if err != nil {
		return "", err
	}
	if file := trafficPath(document); file != "" {
		traffic, err := os.ReadFile(file)
		if err != nil {
			return "", fmt.Errorf("world.clients.traffic: %w", err)
		}
		text = append(text, traffic...)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:hashLength]), nil
}

// loadDocument reads a file strictly, and lays its keys over those of its base.
func loadDocument(path string, depth int) (tomlTable, error) {
	if depth == 0 {
		return nil, fmt.Errorf("%s: bases of bases of bases: do they go in a circle?", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file File
	if err := decodeStrict(text, &file); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	document := tomlTable{}
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if traffic := file.Cluster.Clients.RecordedTraffic; traffic != "" { // beside the file that names it
		trafficFile := filepath.Join(filepath.Dir(path), traffic)
		if document, err = withValue(document, []string{"world", "clients", "traffic"}, trafficFile); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if file.Base == "" {
		return document, nil
	}
	base, err := loadDocument(filepath.Join(filepath.Dir(path), file.Base), depth-1)
	if err != nil {
		return nil, fmt.Errorf("%s: base: %w", path, err)
	}
	for _, own := range []string{"question", "found", "claim", "slow"} {
		delete(base, own)
	}
	return mergeTables(base, document), nil
}

// mergeTables lays tables over each other; all other values are replaced.
func mergeTables(base, override tomlTable) tomlTable {
	out := maps.Clone(base)
	for key, value := range override {
		if table, ok := value.(tomlTable); ok {
			if below, ok := out[key].(tomlTable); ok {
				value = mergeTables(below, table)
			}
		}
		out[key] = value
	}
	return out
}

// decodeStrict decodes a text strictly and returns the first error.
func decodeStrict(text []byte, v any) error {
	if errs := strictdecode.Decode(text, v); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

func decodeDocument(document tomlTable) (f File, err error) {
	text, err := toml.Marshal(document)
	if err != nil {
		return f, err
	}
	return f, decodeStrict(text, &f)
}

func (e *Experiment) validate() error {
	switch {
	case e.Question == "":
		return errors.New("question: an experiment asks one")
	case len(e.Policies) == 0:
		return errors.New("contestants: there are none")
	case e.Seeds < 1 || e.Seeds > maxSeeds:
		return fmt.Errorf("seeds: %d is not from 1 to %d", e.Seeds, maxSeeds)
	}
	for i, name := range e.Policies {
		if _, err := baseline.New(name); err != nil {
			return fmt.Errorf("contestants: %w", err)
		}
		if slices.Contains(e.Policies[:i], name) {
			return fmt.Errorf("contestants: %s is there twice", name)
		}
	}
	return nil
}

// sweep makes the points of a document with each combination of the factors' values.
type sweep struct {
	values map[string][]any // by factor
	points []Point
}

// expandSweep makes all points of a sweep; the values of the last factor change first.
func expandSweep(document tomlTable, values map[string][]any) ([]Point, error) {
	s := &sweep{values: values}
	err := s.expand(document, slices.Sorted(maps.Keys(values)), nil)
	return s.points, err
}

// expand adds the points with all values of the factors that are left.
func (s *sweep) expand(document tomlTable, left, factors []string) error {
	if len(s.points) > maxPoints {
		return fmt.Errorf("sweep: more than %d points", maxPoints)
	}
	if len(left) == 0 {
		return s.add(document, factors)
	}
	for _, value := range s.values[left[0]] {
		changed, err := withValue(document, strings.Split(left[0], "."), value)
		if err != nil {
			return fmt.Errorf("sweep: %s: %w", left[0], err)
		}
		factor := fmt.Sprintf("%s = %v", left[0], value)
		if err := s.expand(changed, left[1:], append(slices.Clone(factors), factor)); err != nil {
			return err
		}
	}
	return nil
}

func (s *sweep) add(document tomlTable, factors []string) error {
	f, err := decodeDocument(document)
	if err != nil {
		return fmt.Errorf("sweep at %s: %w", strings.Join(factors, ", "), err)
	}
	config, err := f.Config()
	if err != nil {
		return err
	}
	s.points = append(s.points, Point{Factors: slices.Clone(factors), Config: config})
	return nil
}

// withValue returns a document with one value replaced. Elements of arrays are numbered from 1.
func withValue(document tomlTable, path []string, value any) (tomlTable, error) {
	out := maps.Clone(document)
	if len(path) == 1 {
		out[path[0]] = value
		return out, nil
	}
	switch inner := out[path[0]].(type) {
	case tomlTable:
		changed, err := withValue(inner, path[1:], value)
		out[path[0]] = changed
		return out, err
	case []any:
		changed, err := withElementValue(inner, path[1:], value)
		out[path[0]] = changed
		return out, err
	}
	return nil, fmt.Errorf("there is no table %s", path[0])
}

// withElementValue returns an array of tables with one value of one element replaced.
func withElementValue(array []any, path []string, value any) ([]any, error) {
	number, err := strconv.Atoi(path[0])
	if err != nil || number < 1 || number > len(array) || len(path) < 2 {
		return nil, fmt.Errorf("there is no element %s", path[0])
	}
	table, ok := array[number-1].(tomlTable)
	if !ok {
		return nil, fmt.Errorf("element %s is no table", path[0])
	}
	changed, err := withValue(table, path[1:], value)
	out := slices.Clone(array)
	out[number-1] = changed
	return out, err
}
