package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// Segment is what Check says of one.
type Segment struct {
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Puts    int    `json:"puts"`
	Deletes int    `json:"deletes"`
	Damaged int64  `json:"damaged"` // bytes between records that are none: the disk has changed them
	Tail    int64  `json:"tail"`    // bytes behind the last record that are none: the end of a write that a crash cut, mostly
	Hint    string `json:"hint"`    // good, none, or spoilt
	Fault   string `json:"fault,omitempty"`
}

// Check reads all segments of a directory, record by record, and changes nothing: it takes no lock, and a store that is
// open may change meanwhile. An error means that the directory could not be read.
func Check(fs FS) ([]Segment, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	list := []Segment{}
	for _, name := range names {
		if n := fileNumber(name, suffix); n > 0 {
			g, err := check(fs, name, n)
			if errors.Is(err, os.ErrNotExist) { // a compaction has taken it
				continue
			}
			if err != nil {
				return list, fmt.Errorf("store: %s: %w", name, err)
			}
			list = append(list, g)
		}
	}
	return list, nil
}

func check(fs FS, name string, n uint64) (Segment, error) {
	g := Segment{Name: name, Hint: "none"}
	b, err := content(fs, name)
	if err != nil {
		return g, err
	}
	g.Bytes = int64(len(b))
	switch v := version(b); {
	case v == 0:
		g.Fault = "its header is not whole"
	case v != magic[len(magic)-1]:
		g.Fault = fmt.Sprintf("format %d, this program knows %d", v, magic[len(magic)-1])
	}
	type entry struct {
		kind         kind
		seq          uint64
		offset, size int64
		key          string
	}
	var found, hinted []entry
	end, damaged := scan(b, n, func(r record, offset, size int64) {
		if r.kind == put {
			g.Puts++
		} else {
			g.Deletes++
		}
		found = append(found, entry{r.kind, r.seq, offset, size, r.key})
	})
	g.Damaged, g.Tail = damaged, g.Bytes-end
	if h, err := content(fs, hintName(n)); err == nil {
		g.Hint = "spoilt"
		e, ok := readHint(h, n, func(r *record, offset, size int64) {
			hinted = append(hinted, entry{r.kind, r.seq, offset, size, r.key})
		})
		if ok && e <= g.Bytes && slices.Equal(found, hinted) {
			g.Hint = "good"
		}
	}
	return g, nil
}

// Read calls each with every entry of a directory, expired ones included, and changes nothing: it takes no lock, and a
// store that is open may change meanwhile. What it cannot read it leaves out.
func Read(fs FS, each func(key string, value []byte, expires time.Time)) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	latest := map[string]record{}
	for _, name := range names {
		n := fileNumber(name, suffix)
		if n == 0 {
			continue
		}
		b, err := content(fs, name)
		if errors.Is(err, os.ErrNotExist) { // a compaction has taken it
			continue
		}
		if err != nil {
			return fmt.Errorf("store: %s: %w", name, err)
		}
		scan(b, n, func(r record, _, _ int64) {
			if old, ok := latest[r.key]; !ok || old.seq < r.seq {
				latest[r.key] = r
			}
		})
	}
	for key, r := range latest {
		if r.kind == put {
			each(key, r.value, time.UnixMilli(r.expires))
		}
	}
	return nil
}

func content(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return whole(f)
}
