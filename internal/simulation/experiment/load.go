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
	// maxBaseDepth limits the number of files in a chain of bases.
	maxBaseDepth = 8
	// hashLength is the length in bytes of the hashes of experiments and of the program.
	hashLength = 8
)

// Experiment is an experiment that was loaded from a file and can be executed.
type Experiment struct {
	File
	Path string
	Name string
	// Hash covers everything that determines the results besides the program: the keys of the file and of its bases,
	// and the recorded traffic.
	Hash   string
	Points []Point
}

// Point is a point of the sweep.
type Point struct {
	// Factors has the values of the factors as "name = value", in the order of the names.
	Factors []string
	Config  simulator.Config
}

// tomlTable is a TOML document or table: its tables, arrays and values by key.
type tomlTable = map[string]any

// Load reads an experiment from a file and validates it. Its errors name the file.
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

// hashOf returns the hash of a document and of the file of recorded traffic that it names.
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

// loadDocument reads a file strictly and merges its keys into the keys of its base, except for those that a base does
// not supply (File.Base). At most depth files may be in the chain of bases, this file included.
func loadDocument(path string, depth int) (tomlTable, error) {
	if depth == 0 {
		return nil, fmt.Errorf("%s: chain of base files must have at most %d files: it may be a cycle",
			path, maxBaseDepth)
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
	if traffic := file.Cluster.Clients.RecordedTraffic; traffic != "" { // the path is relative to this file
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

// mergeTables returns a copy of base in which the values of override replace the values of the same keys. Tables
// that both documents have are merged in the same way.
func mergeTables(base, override tomlTable) tomlTable {
	out := maps.Clone(base)
	for key, value := range override {
		if table, ok := value.(tomlTable); ok {
			if baseTable, ok := out[key].(tomlTable); ok {
				value = mergeTables(baseTable, table)
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
		return errors.New("question: must not be empty")
	case len(e.Policies) == 0:
		return errors.New("contestants: must not be empty")
	case e.Seeds < 1 || e.Seeds > maxSeeds:
		return fmt.Errorf("seeds: must be from 1 to %d, got %d", maxSeeds, e.Seeds)
	}
	for i, name := range e.Policies {
		if _, err := baseline.New(name); err != nil {
			return fmt.Errorf("contestants: %w", err)
		}
		if slices.Contains(e.Policies[:i], name) {
			return fmt.Errorf("contestants: %q is listed twice", name)
		}
	}
	return nil
}

// sweep collects the points of a document with all combinations of the values of the factors.
type sweep struct {
	values map[string][]any // the values of each factor
	points []Point
}

// expandSweep returns all points of a sweep, in an order in which the value of the last factor changes fastest.
func expandSweep(document tomlTable, values map[string][]any) ([]Point, error) {
	s := &sweep{values: values}
	err := s.expand(document, slices.Sorted(maps.Keys(values)), nil)
	return s.points, err
}

// expand adds the points with all combinations of the values of the remaining factors. The document has the values of
// the other factors, which are listed in factors.
func (s *sweep) expand(document tomlTable, remaining, factors []string) error {
	if len(s.points) > maxPoints {
		return fmt.Errorf("sweep: must have at most %d points", maxPoints)
	}
	if len(remaining) == 0 {
		return s.add(document, factors)
	}
	for _, value := range s.values[remaining[0]] {
		changed, err := withValue(document, strings.Split(remaining[0], "."), value)
		if err != nil {
			return fmt.Errorf("sweep: %s: %w", remaining[0], err)
		}
		factor := fmt.Sprintf("%s = %v", remaining[0], value)
		if err := s.expand(changed, remaining[1:], append(slices.Clone(factors), factor)); err != nil {
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

// withValue returns a copy of a document in which the value at a path of keys is replaced. In the path, the elements of
// arrays are numbered from 1.
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
	return nil, fmt.Errorf("there is no table or array of tables %q", path[0])
}

// withElementValue returns a copy of an array of tables in which one value of one element is replaced. The path begins
// with the number of the element.
func withElementValue(array []any, path []string, value any) ([]any, error) {
	number, err := strconv.Atoi(path[0])
	switch {
	case err != nil:
		return nil, fmt.Errorf("element of an array must be given by its number, got %q", path[0])
	case number < 1 || number > len(array):
		return nil, fmt.Errorf("there is no element %d: elements are numbered from 1, and the array has %d",
			number, len(array))
	case len(path) < 2:
		return nil, fmt.Errorf("element %d must be followed by a key", number)
	}
	table, ok := array[number-1].(tomlTable)
	if !ok {
		return nil, fmt.Errorf("element %d is not a table", number)
	}
	changed, err := withValue(table, path[1:], value)
	out := slices.Clone(array)
	out[number-1] = changed
	return out, err
}
