package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"

	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/simulator"
)

const (
	resultsFormat  = "hazelwing-lab-1"
	unknownVersion = "unknown"
	resultsDirMode = 0o755
	resultsMode    = 0o644
)

// ErrResultsMismatch is returned by Execute if the existing file's header differs from the experiment's.
var ErrResultsMismatch = errors.New("file has results of another experiment or of another build of the program")

// Header is the first line of a file of results.
type Header struct {
	Format   string `json:"format"`
	Name     string `json:"name"`
	Question string `json:"question"`
	// Hash is Experiment.Hash.
	Hash string `json:"hash"`
	// Program is the commit of the program, or "unknown". If the program was built with uncommitted changes or without
	// a commit, its checksum follows.
	Program   string     `json:"commit"`
	GoVersion string     `json:"go"`
	Policies  []string   `json:"contestants"`
	Sources   []string   `json:"sources"`
	Seeds     int        `json:"seeds"`
	Points    [][]string `json:"points"`
	Claims    []Claim    `json:"claims"`
}

// Run is a line of a file of results: the result of one policy at one point with one seed.
type Run struct {
	Point  int    `json:"point"`
	Seed   int    `json:"seed"`
	Policy string `json:"contestant"`
	// Error is the reason why the simulation gave no result, such as a panic of the policy. Result then has this error
	// as its only violation.
	Error  string            `json:"error,omitempty"`
	Result *simulator.Result `json:"result"`
}

func (e *Experiment) header() Header {
	h := Header{
		Format:    resultsFormat,
		Name:      e.Name,
		Question:  e.Question,
		Hash:      e.Hash,
		Program:   programVersion(),
		GoVersion: runtime.Version(),
		Policies:  e.Policies,
		Seeds:     e.Seeds,
		Claims:    e.Claims,
	}
	for _, name := range e.Policies {
		h.Sources = append(h.Sources, baseline.Source(name))
	}
	for _, p := range e.Points {
		h.Points = append(h.Points, append([]string{}, p.Factors...))
	}
	return h
}

// programVersion returns the version for Header.Program. If the commit does not identify the program, the version also
// has a checksum of the executable. The checksum prevents a file from getting the results of two builds.
var programVersion = sync.OnceValue(func() string {
	commit, isClean := vcsRevision()
	if isClean {
		return commit
	}
	path, err := os.Executable()
	if err != nil {
		return commit
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return commit
	}
	sum := sha256.Sum256(text)
	return fmt.Sprintf("%s, program %x", commit, sum[:hashLength])
})

// vcsRevision returns the commit that the program was built from, or unknownVersion, and whether it was built without
// uncommitted changes.
func vcsRevision() (commit string, isClean bool) {
	commit = unknownVersion
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return commit, false
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			commit = s.Value
		case "vcs.modified":
			isClean = s.Value == "false"
		}
	}
	return commit, isClean
}

// openResults opens or creates a file of results and returns it with the runs that it has. An incomplete line at its
// end is removed.
func (e *Experiment) openResults(path string, maxRuns int) (*os.File, []Run, error) {
	if err := os.MkdirAll(filepath.Dir(path), resultsDirMode); err != nil {
		return nil, nil, err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, resultsMode)
	if err != nil {
		return nil, nil, err
	}
	runs, err := e.resume(f, maxRuns)
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return f, runs, nil
}

// resume reads the runs of a file, removes everything after the last complete run, and sets the position of the file to
// its end. It writes the header if the file has none or an incomplete one.
func (e *Experiment) resume(f *os.File, maxRuns int) ([]Run, error) {
	header, err := json.Marshal(e.header())
	if err != nil {
		return nil, err
	}
	in := bufio.NewReader(f)
	first, err := in.ReadBytes('\n')
	if errors.Is(err, io.EOF) {
		if len(first) > 0 && !bytes.HasPrefix(append(header, '\n'), first) {
			return nil, ErrResultsMismatch
		}
		return nil, writeHeader(f, header)
	}
	if err != nil || !bytes.Equal(bytes.TrimSuffix(first, []byte("\n")), header) {
		return nil, cmp.Or(err, ErrResultsMismatch)
	}
	end := int64(len(first))
	var runs []Run
	for len(runs) < maxRuns {
		line, err := in.ReadBytes('\n')
		var r Run
		if err != nil || json.Unmarshal(line, &r) != nil {
			break
		}
		runs = append(runs, r)
		end += int64(len(line))
	}
	if err := f.Truncate(end); err != nil {
		return nil, err
	}
	_, err = f.Seek(end, io.SeekStart)
	return runs, err
}

// writeHeader replaces the content of a file with a header and sets the position of the file to its end.
func writeHeader(f *os.File, header []byte) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.WriteAt(append(header, '\n'), 0); err != nil {
		return err
	}
	_, err := f.Seek(0, io.SeekEnd)
	return err
}

// ReadResults reads a file of results. It returns an error if the number of runs is not the one that the header
// implies.
func ReadResults(path string) (h Header, runs []Run, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	in := json.NewDecoder(f)
	if err := in.Decode(&h); err != nil {
		return h, nil, fmt.Errorf("%s: invalid header of a file of results: %w", path, err)
	}
	if h.Format != resultsFormat {
		return h, nil, fmt.Errorf("%s: format must be %q, got %q", path, resultsFormat, h.Format)
	}
	for in.More() {
		var r Run
		if err := in.Decode(&r); err != nil {
			return h, nil, fmt.Errorf("%s: run %d: %w", path, len(runs)+1, err)
		}
		runs = append(runs, r)
	}
	switch want := len(h.Points) * h.Seeds * len(h.Policies); {
	case len(runs) < want:
		return h, nil, fmt.Errorf("%s: results are incomplete, with %d of %d runs: run the experiment to its end first",
			path, len(runs), want)
	case len(runs) > want:
		return h, nil, fmt.Errorf("%s: file has %d runs, but its header describes %d", path, len(runs), want)
	}
	return h, runs, nil
}
