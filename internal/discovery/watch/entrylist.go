package watch

import (
	"bytes"
	"slices"
)

const (
	// listDepth is the nesting depth within the list of entries of an event: the event is an object, and the list is an
	// array in it.
	listDepth = 2
	// takenEntries replaces the entries that were taken from an event, so that the rest of the event stays valid JSON.
	takenEntries = "null"
	// listKey is the key of the list of entries.
	listKey = `"hosts"`
	// jsonSpace holds the white space of JSON.
	jsonSpace = " \t\r\n"
)

// entryList locates the list of entries in an object that has not arrived completely. Offsets are those of
// objectReader.object.
type entryList struct {
	begin int  // offset of the first byte of the list; 0: the object has no list yet, or its list has ended
	end   int  // offset behind the last complete entry, or behind takenEntries
	taken bool // entries were taken; takenEntries is at begin
}

// scanned updates the location for the byte c at offset, after which the nesting depth is depth.
func (l *entryList) scanned(c byte, offset, depth int) {
	switch {
	case c == '[' && depth == listDepth:
		*l = entryList{begin: offset + 1, end: offset + 1}
	case c == '}' && depth == listDepth:
		l.end = offset + 1
	case depth < listDepth:
		l.begin = 0
	}
}

// take returns the complete entries that were not taken before, as a JSON array, and removes them from object. It
// returns nil if there are none. header is the part of the object before the list, completed to an object.
func (l *entryList) take(object *[]byte) (entries, header []byte) {
	begin := l.begin
	if l.taken {
		begin += len(takenEntries)
	}
	if l.begin == 0 || l.end <= begin || !endsWithKey((*object)[:l.begin-1]) {
		return nil, nil
	}
	entries = append([]byte{'['}, bytes.TrimLeft((*object)[begin:l.end], jsonSpace+",")...)
	entries = append(entries, ']')
	header = append(slices.Clone((*object)[:l.begin]), ']', '}')
	*object = slices.Replace(*object, l.begin, l.end, []byte(takenEntries)...)
	l.end = l.begin + len(takenEntries)
	l.taken = true
	return entries, header
}

// endsWithKey reports whether text ends with the key of the list of entries, and the colon after it.
func endsWithKey(text []byte) bool {
	text, found := bytes.CutSuffix(bytes.TrimRight(text, jsonSpace), []byte{':'})
	return found && bytes.HasSuffix(bytes.TrimRight(text, jsonSpace), []byte(listKey))
}
