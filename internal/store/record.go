package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

const (
	magic      = "hzwlog\x00\x01"
	headerSize = 24
	frameSize  = 8  // length and crc
	bodyLeast  = 19 // without key and value
	suffix     = ".log"

	// MaxKey and MaxValue bound an entry, in bytes.
	MaxKey   = 1 << 10
	MaxValue = 64 << 10
	maxBody  = bodyLeast + MaxKey + MaxValue
)

type kind byte

const (
	put    kind = 1
	remove kind = 2
)

// record is one of the log's.
type record struct {
	kind    kind
	seq     uint64
	expires int64 // Unix ms
	key     string
	value   []byte
}

func (r *record) size() int64 { return int64(frameSize + bodyLeast + len(r.key) + len(r.value)) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sum is the checksum of a record at an offset of a segment; frame begins with its length.
func sum(segment uint64, offset int64, frame []byte) uint32 {
	var where [20]byte
	binary.LittleEndian.PutUint64(where[:], segment)
	binary.LittleEndian.PutUint64(where[8:], uint64(offset))
	copy(where[16:], frame[:4])
	return crc32.Update(crc32.Checksum(where[:], castagnoli), castagnoli, frame[frameSize:])
}

// add appends r to b, which ends at an offset of a segment.
func (r *record) add(b []byte, segment uint64, offset int64) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(r.size()-frameSize))
	b = append(b, 0, 0, 0, 0, byte(r.kind))
	b = binary.LittleEndian.AppendUint64(b, r.seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.expires))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.key)))
	b = append(append(b, r.key...), r.value...)
	frame := b[start:]
	binary.LittleEndian.PutUint32(frame[4:], sum(segment, offset, frame))
	return b
}

// read reads the record that b begins with, if it begins with one. Its value is a part of b.
func read(b []byte, segment uint64, offset int64) (r record, ok bool) {
	if len(b) < frameSize+bodyLeast {
		return r, false
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < bodyLeast || n > maxBody || n > len(b)-frameSize {
		return r, false
	}
	frame := b[:frameSize+n]
	if binary.LittleEndian.Uint32(b[4:]) != sum(segment, offset, frame) {
		return r, false
	}
	body := frame[frameSize:]
	k := int(binary.LittleEndian.Uint16(body[17:]))
	r = record{kind: kind(body[0]), seq: binary.LittleEndian.Uint64(body[1:]), expires: int64(binary.LittleEndian.Uint64(body[9:]))}
	if k > n-bodyLeast || r.kind != put && r.kind != remove {
		return r, false
	}
	r.key, r.value = string(body[bodyLeast:bodyLeast+k]), body[bodyLeast+k:]
	return r, true
}

func header(segment uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(magic), segment)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, 0, 0, 0, 0)
}

// version is the format that a segment's header names; 0: it is no whole header.
func version(b []byte) byte {
	if len(b) < headerSize || string(b[:len(magic)-1]) != magic[:len(magic)-1] ||
		binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(b[:16], castagnoli) {
		return 0
	}
	return b[len(magic)-1]
}

func fileName(n uint64, suffix string) string { return fmt.Sprintf("%016x%s", n, suffix) }

func segmentName(n uint64) string { return fileName(n, suffix) }

// fileNumber is that of a file's name; 0: it does not end so.
func fileNumber(name, suffix string) uint64 {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// scan goes through a segment's records, b being the whole file. Where bytes are no record it looks for the next: those
// in between were changed by the disk, or are the end of a write that a crash cut. It returns where the last record
// ends, and how many bytes before that are none.
func scan(b []byte, segment uint64, each func(r record, offset, size int64)) (end, damaged int64) {
	end = min(headerSize, int64(len(b)))
	for at := end; at < int64(len(b)); {
		r, ok := read(b[at:], segment, at)
		if !ok {
			at++
			continue
		}
		damaged += at - end
		each(r, at, r.size())
		at += r.size()
		end = at
	}
	return end, damaged
}
