package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A hint file tells what its segment holds, without the values: a start reads it in the segment's place. It is written
// after the segment was closed, and believed only whole: what is missing or spoilt costs time and nothing else.

const (
	hintMagic  = "hzwhnt\x00\x01"
	hintSuffix = ".hint"
	hintHead   = 28 // magic, number, end, count
	hintEntry  = 27 // without the key
)

func hintName(n uint64) string { return fileName(n, hintSuffix) }

// appendHint adds a record's entry.
func appendHint(b []byte, r *record, offset int64) []byte {
	b = append(b, byte(r.kind))
	b = binary.LittleEndian.AppendUint64(b, r.seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.expires))
	b = binary.LittleEndian.AppendUint32(b, uint32(offset))
	b = binary.LittleEndian.AppendUint32(b, uint32(r.size()))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.key)))
	return append(b, r.key...)
}

// hint is the hint file of a segment whose content, up to its end, is b. nil: it is too large for one.
func hint(n uint64, b []byte) []byte {
	if int64(len(b)) > 1<<32-1 {
		return nil
	}
	h := binary.LittleEndian.AppendUint64([]byte(hintMagic), n)
	h = binary.LittleEndian.AppendUint64(h, uint64(len(b)))
	h = append(h, 0, 0, 0, 0)
	count := uint32(0)
	scan(b, n, func(r record, offset, _ int64) {
		h = appendHint(h, &r, offset)
		count++
	})
	binary.LittleEndian.PutUint32(h[24:], count)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// readHint goes through a hint file's entries; ok is false where it is not a whole one of segment n.
func readHint(h []byte, n uint64, each func(r *record, offset, size int64)) (end int64, ok bool) {
	last := len(h) - 4
	if last < hintHead || string(h[:8]) != hintMagic || binary.LittleEndian.Uint64(h[8:]) != n ||
		binary.LittleEndian.Uint32(h[last:]) != crc32.Checksum(h[:last], castagnoli) {
		return 0, false
	}
	end = int64(binary.LittleEndian.Uint64(h[16:]))
	b := h[hintHead:last]
	for range binary.LittleEndian.Uint32(h[24:]) {
		if len(b) < hintEntry {
			return 0, false
		}
		r := record{kind: kind(b[0]), seq: binary.LittleEndian.Uint64(b[1:]), expires: int64(binary.LittleEndian.Uint64(b[9:]))}
		offset, size := int64(binary.LittleEndian.Uint32(b[17:])), int64(binary.LittleEndian.Uint32(b[21:]))
		k := int(binary.LittleEndian.Uint16(b[25:]))
		if len(b) < hintEntry+k {
			return 0, false
		}
		r.key, b = string(b[hintEntry:hintEntry+k]), b[hintEntry+k:]
		each(&r, offset, size)
	}
	return end, len(b) == 0
}

// loadHint takes a segment's entries from its hint file, if that can be used: it is whole, and the segment is as long
// as it says. A checksum that holds makes all of it good, so nothing was taken where it says false.
func (s *Store) loadHint(g *segment, take func(r *record, offset, size int64)) (end int64, ok bool) {
	f, err := s.fs.Open(hintName(g.number))
	if err != nil {
		return 0, false
	}
	defer f.Close()
	h, err := whole(f)
	if err != nil {
		return 0, false
	}
	size, err := g.f.Size()
	if len(h) < hintHead || err != nil || int64(binary.LittleEndian.Uint64(h[16:])) > size {
		return 0, false
	}
	return readHint(h, g.number, take)
}

// writeHint makes the hint file of a closed segment. It is not synced: half of one is none.
func (s *Store) writeHint(g *segment) error {
	b, err := whole(g.f)
	if err != nil {
		return err
	}
	h := hint(g.number, b[:min(int64(len(b)), g.size)])
	if h == nil {
		return nil
	}
	f, err := s.fs.Create(hintName(g.number))
	if err != nil {
		return err
	}
	_, err = f.Write(h)
	f.Close()
	if err != nil {
		s.fs.Remove(hintName(g.number)) // as far as it goes
	}
	return err
}
