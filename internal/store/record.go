package store

import (
	"encoding/binary"
	"hash/crc32"
)

// Limits of an entry.
const (
	MaxKey   = 1 << 10  // maximum size of a key, in bytes
	MaxValue = 64 << 10 // maximum size of a value, in bytes
)

// Sizes of a record, in bytes.
const (
	frameSize   = 8  // length and checksum
	minBodySize = 19 // size of a body without key and value
	maxBodySize = minBodySize + MaxKey + MaxValue
)

// recordKind is the kind of a record. The numbers are stored.
type recordKind byte

const (
	kindPut    recordKind = 1
	kindDelete recordKind = 2
)

// record is a decoded record of the log.
type record struct {
	kind      recordKind
	sequence  uint64
	expiresAt int64 // Unix ms
	key       string
	value     []byte
}

// size returns the number of bytes of the encoded record.
func (r *record) size() int64 { return int64(frameSize + minBodySize + len(r.key) + len(r.value)) }

// appendTo appends the encoded record to b. The record is for the given offset of a segment, which its checksum covers.
func (r *record) appendTo(b []byte, segment uint64, offset int64) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(r.size()-frameSize))
	b = append(b, 0, 0, 0, 0) // checksum, which is set at the end
	b = append(b, byte(r.kind))
	b = binary.LittleEndian.AppendUint64(b, r.sequence)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.expiresAt))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.key)))
	b = append(b, r.key...)
	b = append(b, r.value...)
	frame := b[start:]
	binary.LittleEndian.PutUint32(frame[4:], checksum(segment, offset, frame))
	return b
}

// decodeRecord decodes the record at the start of b, which was read from the given offset of a segment. ok is false if
// there is no valid record. The value shares the memory of b.
func decodeRecord(b []byte, segment uint64, offset int64) (r record, ok bool) {
	if len(b) < frameSize+minBodySize {
		return record{}, false
	}
	bodySize := int(binary.LittleEndian.Uint32(b))
	if bodySize < minBodySize || bodySize > maxBodySize || bodySize > len(b)-frameSize {
		return record{}, false
	}
	frame := b[:frameSize+bodySize]
	if binary.LittleEndian.Uint32(b[4:]) != checksum(segment, offset, frame) {
		return record{}, false
	}
	body := frame[frameSize:]
	r = record{
		kind:      recordKind(body[0]),
		sequence:  binary.LittleEndian.Uint64(body[1:]),
		expiresAt: int64(binary.LittleEndian.Uint64(body[9:])),
	}
	keySize := int(binary.LittleEndian.Uint16(body[17:]))
	if keySize > bodySize-minBodySize || r.kind != kindPut && r.kind != kindDelete {
		return record{}, false
	}
	r.key = string(body[minBodySize : minBodySize+keySize])
	r.value = body[minBodySize+keySize:]
	return r, true
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of a record at an offset of a segment. frame is the encoded record; its checksum field
// is not covered.
func checksum(segment uint64, offset int64, frame []byte) uint32 {
	var prefix [20]byte
	binary.LittleEndian.PutUint64(prefix[:], segment)
	binary.LittleEndian.PutUint64(prefix[8:], uint64(offset))
	copy(prefix[16:], frame[:4])
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, frame[frameSize:])
}
