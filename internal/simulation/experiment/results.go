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

// ErrResultsMismatch is returned by Execute where the file holds results of something else.
var ErrResultsMismatch = errors.New("it holds a run of another experiment or another program")

// Header is the first line of a file of results.
type Header struct {
	Format   string `json:"format"`
	Name     string `json:"name"`
	Question string `json:"question"`
	// Hash is the experiment's.
	Hash string `json:"hash"`
	// Program is its commit, or "unknown"; with its checksum where it was built with changes or without a commit.
	Program   string     `json:"commit"`
	GoVersion string     `json:"go"`
	Policies  []string   `json:"contestants"`
	Sources   []string   `json:"sources"`
	Seeds     int        `json:"seeds"`
	Points    [][]string `json:"points"`
	Claims    []Claim    `json:"claims"`
}

// Run is a line of a file of results: one policy at one point with one seed.
type Run struct {
	Point  int    `json:"point"`
	Seed   int    `json:"seed"`
	Policy string `json:"contestant"`
	// Error says why there is no result: the policy panicked, or could not be made.
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

// programVersion names the program by its commit and, where that is not all of it, by its own bytes too. This prevents
// results of two builds from standing in one file.
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

// vcsRevision is the commit that the program was built from, and whether it was built without changes.
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

// openResults opens a file of results and reads what is in it already. Half a line at its end is cut off.
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

// resume reads the runs of a file and leaves it at the end of the last whole one. It writes the header if there is
// none, or half of it.
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

// writeHeader makes a header the only line of a file.
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

// ReadResults reads a complete file of results.
func ReadResults(path string) (h Header, runs []Run, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	in := json.NewDecoder(f)
	if err := in.Decode(&h); err != nil || h.Format != resultsFormat {
		return h, nil, fmt.Errorf("%s: it is no run of the lab: %w", path, cmp.Or(err, errors.New(h.Format)))
	}
	for in.More() {
		var r Run
		if err := in.Decode(&r); err != nil {
			return h, nil, fmt.Errorf("%s: run %d: %w", path, len(runs)+1, err)
		}
		runs = append(runs, r)
	}
	if want := len(h.Points) * h.Seeds * len(h.Policies); len(runs) != want {
		return h, nil, fmt.Errorf("%s: %d of %d runs: play it to its end first", path, len(runs), want)
	}
	return h, runs, nil
}
