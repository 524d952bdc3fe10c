package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A hint file lists what its segment holds, without the values: a start reads it in place of the segment. It is written
// after the segment was sealed, and used only if it is complete: one that is missing or damaged costs time and nothing
// else.

const (
	hintMagic      = "hzwhnt\x00\x01"
	hintSuffix     = ".hint"
	hintHeaderSize = 28 // magic, number, end, count
	hintEntrySize  = 27 // without the key
	hintFooterSize = 4  // checksum
	// maxHintedSize is the size beyond which a segment has no hint file: offsets have 32 bits.
	maxHintedSize = 1<<32 - 1
)

// visitHint receives an entry of a hint file: a record without its value, where it lies, and its size there.
type visitHint func(r *record, offset, size int64)

func hintName(number uint64) string { return fileName(number, hintSuffix) }

// encodeHint returns the hint file of a segment whose content, up to its end, is b, or nil if it is too large for one.
func encodeHint(number uint64, b []byte) []byte {
	if int64(len(b)) > maxHintedSize {
		return nil
	}
	h := binary.LittleEndian.AppendUint64([]byte(hintMagic), number)
	h = binary.LittleEndian.AppendUint64(h, uint64(len(b)))
	h = append(h, 0, 0, 0, 0) // the count, below
	count := uint32(0)
	scan(b, number, func(r record, offset, _ int64) {
		h = appendHintEntry(h, &r, offset)
		count++
	})
	binary.LittleEndian.PutUint32(h[24:], count)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// appendHintEntry appends the entry of a record.
func appendHintEntry(h []byte, r *record, offset int64) []byte {
	h = append(h, byte(r.kind))
	h = binary.LittleEndian.AppendUint64(h, r.sequence)
	h = binary.LittleEndian.AppendUint64(h, uint64(r.expiresAt))
	h = binary.LittleEndian.AppendUint32(h, uint32(offset))
	h = binary.LittleEndian.AppendUint32(h, uint32(r.size()))
	h = binary.LittleEndian.AppendUint16(h, uint16(len(r.key)))
	return append(h, r.key...)
}

// decodeHint calls visit with each entry of a hint file, and returns the end of its segment. ok is false if it is not
// the complete hint file of that segment. The checksum is verified first, so that no entry of a damaged file is
// visited.
func decodeHint(h []byte, number uint64, visit visitHint) (end int64, ok bool) {
	footer := len(h) - hintFooterSize
	if footer < hintHeaderSize || string(h[:8]) != hintMagic || binary.LittleEndian.Uint64(h[8:]) != number {
		return 0, false
	}
	if binary.LittleEndian.Uint32(h[footer:]) != crc32.Checksum(h[:footer], castagnoli) {
		return 0, false
	}
	rest := h[hintHeaderSize:footer]
	for range binary.LittleEndian.Uint32(h[24:]) {
		if len(rest) < hintEntrySize {
			return 0, false
		}
		r := record{
			kind:      recordKind(rest[0]),
			sequence:  binary.LittleEndian.Uint64(rest[1:]),
			expiresAt: int64(binary.LittleEndian.Uint64(rest[9:])),
		}
		offset := int64(binary.LittleEndian.Uint32(rest[17:]))
		size := int64(binary.LittleEndian.Uint32(rest[21:]))
		keySize := int(binary.LittleEndian.Uint16(rest[25:]))
		if len(rest) < hintEntrySize+keySize {
			return 0, false
		}
		r.key = string(rest[hintEntrySize : hintEntrySize+keySize])
		rest = rest[hintEntrySize+keySize:]
		visit(&r, offset, size)
	}
	return hintedEnd(h), len(rest) == 0
}

// hintedEnd returns the end of the segment that a hint file names.
func hintedEnd(h []byte) int64 { return int64(binary.LittleEndian.Uint64(h[16:])) }

// loadHint visits the entries of a segment's hint file. ok is false if it cannot be used: it is not complete, or the
// segment is shorter than it says.
func (s *Store) loadHint(g *segment, visit visitHint) (end int64, ok bool) {
	h, err := readFile(s.fs, hintName(g.number))
	if err != nil {
		return 0, false
	}
	size, err := g.file.Size()
	if err != nil || len(h) < hintHeaderSize || hintedEnd(h) > size {
		return 0, false
	}
	return decodeHint(h, g.number, visit)
}

// writeHint writes the hint file of a sealed segment. It is not synced: an incomplete one is not used.
func (s *Store) writeHint(g *segment) error {
	b, err := readAll(g.file)
	if err != nil {
		return err
	}
	h := encodeHint(g.number, b[:min(int64(len(b)), g.size)])
	if h == nil {
		return nil
	}
	f, err := s.fs.Create(hintName(g.number))
	if err != nil {
		return err
	}
	_, err = f.Write(h)
	_ = f.Close() // the checksum tells whether the file is complete
	if err != nil {
		_ = s.fs.Remove(hintName(g.number)) // an incomplete one is not used
	}
	return err
}
