package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

const (
	segmentMagic  = "hzwlog\x00\x01" // ends with formatVersion
	formatVersion = 1
	segmentSuffix = ".log"
	headerSize    = 24
)

// versionError is the error for a segment with an unknown version of the format.
type versionError struct{ version byte }

func (e *versionError) Error() string {
	return fmt.Sprintf("format %d, this program knows %d", e.version, formatVersion)
}

// segment is a file of the log. Store.mu protects its fields, except for number and file, which do not change, and
// hintTried, which Store.compactMu protects.
type segment struct {
	number uint64
	file   File
	size   int64 // confirmed bytes
	sealed bool  // no more records are written to the segment
	// hintTried is set once the hint file exists or a write of it has failed; a failed write is not tried again.
	hintTried bool

	entries    int   // number of index entries whose record is in the segment
	live       int64 // total size of the records of these entries, in bytes
	lastExpiry int64 // latest expiry of these entries, including entries that have been removed, Unix ms
}

// addEntry adds an entry whose record is in the segment to the totals.
func (g *segment) addEntry(l location) {
	g.entries++
	g.live += int64(l.size)
	g.lastExpiry = max(g.lastExpiry, l.expiresAt)
}

// removeEntry undoes addEntry, except for lastExpiry, which stays.
func (g *segment) removeEntry(l location) {
	g.entries--
	g.live -= int64(l.size)
}

// encodeHeader returns the header of a segment.
func encodeHeader(number uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(segmentMagic), number)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, 0, 0, 0, 0)
}

// headerVersion returns the version of the format in a segment's header, 0 if the header is incomplete or damaged.
func headerVersion(b []byte) byte {
	magicSize := len(segmentMagic) - 1 // without the version
	if len(b) < headerSize || string(b[:magicSize]) != segmentMagic[:magicSize] {
		return 0
	}
	if binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(b[:16], castagnoli) {
		return 0
	}
	return b[magicSize]
}

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%016x%s", number, suffix) }

func segmentName(number uint64) string { return fileName(number, segmentSuffix) }

// fileNumber returns the number in the name of a file, 0 if the name does not consist of a number and the suffix.
func fileNumber(name, suffix string) uint64 {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return 0
	}
	return number
}

// scan calls visit with each record of a segment; b is the content of its file. If it finds bytes that are not a valid
// record, it searches for the next record: the bytes in between were damaged on disk, or belong to a write that a crash
// interrupted. It returns the end of the last record, and the number of bytes before that end that are not part of a
// record.
func scan(b []byte, number uint64, visit func(r record, offset, size int64)) (end, damaged int64) {
	end = min(headerSize, int64(len(b)))
	for offset := end; offset < int64(len(b)); {
		r, ok := decodeRecord(b[offset:], number, offset)
		if !ok {
			offset++
			continue
		}
		damaged += offset - end
		visit(r, offset, r.size())
		offset += r.size()
		end = offset
	}
	return end, damaged
}
