package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// SegmentReport is the result of Check for a segment.
type SegmentReport struct {
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Puts    int    `json:"puts"`
	Deletes int    `json:"deletes"`
	Damaged int64  `json:"damaged"`         // bytes before the end of the last record that are not part of a record
	Tail    int64  `json:"tail"`            // bytes after the last record, usually from a write cut off by a crash
	Hint    string `json:"hint"`            // HintGood, HintMissing or HintDamaged
	Fault   string `json:"fault,omitempty"` // fault of the header
}

// States of a hint file.
const (
	HintGood    = "good"
	HintMissing = "none"
	HintDamaged = "spoilt"
)

// Check reads all records of all segments of a directory, and changes nothing. It does not take the lock, so another
// process may change the store meanwhile. An error means that the directory or a segment could not be read.
func Check(fs FS) ([]SegmentReport, error) {
	list := []SegmentReport{}
	err := eachSegment(fs, func(name string, number uint64, content []byte) {
		list = append(list, checkSegment(fs, name, number, content))
	})
	return list, err
}

// Read calls visit with every entry of a directory, including expired ones, and changes nothing. It does not take the
// lock, so another process may change the store meanwhile. Read skips records that are damaged.
func Read(fs FS, visit func(key string, value []byte, expiresAt time.Time)) error {
	latest := map[string]record{}
	err := eachSegment(fs, func(_ string, number uint64, content []byte) {
		scan(content, number, func(r record, _, _ int64) {
			if old, ok := latest[r.key]; !ok || old.sequence < r.sequence {
				latest[r.key] = r
			}
		})
	})
	if err != nil {
		return err
	}
	for key, r := range latest {
		if r.kind == kindPut {
			visit(key, r.value, time.UnixMilli(r.expiresAt))
		}
	}
	return nil
}

// eachSegment calls visit with the content of each segment of a directory, in order of their numbers.
func eachSegment(fs FS, visit func(name string, number uint64, content []byte)) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		number := fileNumber(name, segmentSuffix)
		if number == 0 {
			continue
		}
		content, err := readFile(fs, name)
		if errors.Is(err, os.ErrNotExist) { // another process has removed the segment since List
			continue
		}
		if err != nil {
			return fmt.Errorf("store: reading %s: %w", name, err)
		}
		visit(name, number, content)
	}
	return nil
}

// checkedRecord holds the properties of a record that are both in its segment and in the hint file.
type checkedRecord struct {
	kind         recordKind
	sequence     uint64
	offset, size int64
	key          string
}

func checkSegment(fs FS, name string, number uint64, content []byte) SegmentReport {
	report := SegmentReport{Name: name, Bytes: int64(len(content)), Hint: HintMissing}
	switch v := headerVersion(content); {
	case v == 0:
		report.Fault = "its header is not whole"
	case v != formatVersion:
		report.Fault = (&versionError{v}).Error()
	}
	var records []checkedRecord
	end, damaged := scan(content, number, func(r record, offset, size int64) {
		if r.kind == kindPut {
			report.Puts++
		} else {
			report.Deletes++
		}
		records = append(records, checkedRecord{r.kind, r.sequence, offset, size, r.key})
	})
	report.Damaged = damaged
	report.Tail = report.Bytes - end
	if hint, err := readFile(fs, hintName(number)); err == nil {
		report.Hint = HintDamaged
		if isHintOf(hint, number, report.Bytes, records) {
			report.Hint = HintGood
		}
	}
	return report
}

// isHintOf reports whether a hint file lists exactly the given records of a segment.
func isHintOf(hint []byte, number uint64, segmentSize int64, records []checkedRecord) bool {
	var hinted []checkedRecord
	end, ok := decodeHint(hint, number, func(r *record, offset, size int64) {
		hinted = append(hinted, checkedRecord{r.kind, r.sequence, offset, size, r.key})
	})
	return ok && end <= segmentSize && slices.Equal(records, hinted)
}
