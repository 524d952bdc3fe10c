package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A hint file lists the records of its segment without their values. Open reads the hint file instead of the segment. A
// hint file is written after its segment has been sealed, and is used only if it is complete. If a hint file is missing
// or damaged, opening the store takes longer, but nothing is lost.

const (
	hintMagic      = "hzwhnt\x00\x01"
	hintSuffix     = ".hint"
	hintHeaderSize = 28 // magic, number, end, count
	hintEntrySize  = 27 // size of an entry without its key
	hintFooterSize = 4  // checksum
	// maxHintedSize is the maximum size of a segment with a hint file, in which offsets have 32 bits.
	maxHintedSize = 1<<32 - 1
)

// visitHint receives an entry of a hint file: a record without its value, and its offset and size in the segment.
type visitHint func(r *record, offset, size int64)

func hintName(number uint64) string { return fileName(number, hintSuffix) }

// encodeHint returns the hint file of a segment with the content b, or nil if the segment is too large for one.
func encodeHint(number uint64, b []byte) []byte {
	if int64(len(b)) > maxHintedSize {
		return nil
	}
	h := binary.LittleEndian.AppendUint64([]byte(hintMagic), number)
	h = binary.LittleEndian.AppendUint64(h, uint64(len(b)))
	h = append(h, 0, 0, 0, 0) // number of entries, which is set at the end
	count := uint32(0)
	scan(b, number, func(r record, offset, _ int64) {
		h = appendHintEntry(h, &r, offset)
		count++
	})
	binary.LittleEndian.PutUint32(h[24:], count)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// appendHintEntry appends the entry of a record to a hint file.
func appendHintEntry(h []byte, r *record, offset int64) []byte {
	h = append(h, byte(r.kind))
	h = binary.LittleEndian.AppendUint64(h, r.sequence)
	h = binary.LittleEndian.AppendUint64(h, uint64(r.expiresAt))
	h = binary.LittleEndian.AppendUint32(h, uint32(offset))
	h = binary.LittleEndian.AppendUint32(h, uint32(r.size()))
	h = binary.LittleEndian.AppendUint16(h, uint16(len(r.key)))
	return append(h, r.key...)
}

// decodeHint calls visit with each entry of the hint file h, and returns the end of its segment. ok is false if h is
// not the complete hint file of segment number. The checksum is verified first, so that no entry of a damaged file is
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

// hintedEnd returns the end of the segment that is stored in the hint file h.
func hintedEnd(h []byte) int64 { return int64(binary.LittleEndian.Uint64(h[16:])) }

// loadHint calls visit with each entry of a segment's hint file, and returns the end of the segment. ok is false if the
// hint file cannot be used: it is unreadable or damaged, belongs to another segment, or states a segment end beyond the
// end of the segment's file.
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

// writeHint writes the hint file of a sealed segment. It does not sync the file, since an incomplete one is not used.
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
	_ = f.Close() // the error does not matter: the checksum shows whether the file is complete
	if err != nil {
		_ = s.fs.Remove(hintName(g.number)) // an incomplete file that stays is not used
	}
	return err
}
