// Package store stores small entries that have to survive a crash, in a log of segments with an index in memory.
//
// # Guarantees
//
//   - An entry is confirmed when Put or Delete has returned nil: its record and all records before it in its segment
//     have been synced. Recovery never loses a confirmed entry, no matter when the process or the machine stopped.
//   - Recovery never returns an entry that was not put, nor one that combines parts of different entries. An entry
//     whose Put returned an error, or had not returned, may be present or absent.
//   - After a failed sync, no record that was written to the segment since its last successful sync counts as durable.
//     The segment is sealed at its last confirmed byte, and the next batch is written to a new segment.
//   - When the disk is full, Put fails and the store stays usable: existing entries stay, and the next Put tries again.
//   - A record that was damaged on disk is detected by its checksum, skipped and reported. The records around it stay.
//     Damage after the last valid record of a segment looks like an interrupted write, and Open ignores it.
//
// An entry has an expiry time. After that it is not found, and Maintain reclaims its space. The clock has to continue
// across restarts. A clock that is set back only makes entries live longer.
//
// With Options.SyncEvery an entry is confirmed once it has been passed to the operating system. Confirmed entries then
// survive the end of the process, but a power loss loses those that have not been synced yet.
//
// # Format, version 1
//
// A directory holds segments, "%016x.log", numbered from 1, a hint file, "%016x.hint", for most of the sealed segments,
// and the lock file "lock". All numbers are little-endian.
//
//	segment: header, then records without gaps
//	header:  magic "hzwlog" 00 01 (8 bytes) | number (8) | crc (4) of the preceding 16 bytes | 0 (4)
//	record:  length n of the body (4) | crc (4) | body (n)
//	body:    kind (1): 1 put, 2 delete | sequence (8) | expiry, Unix ms (8) | key length k (2) | key (k) | value
//	hint:    magic "hzwhnt" 00 01 (8) | number (8) | segment end (8) | count (4) | entries | crc (4) of the rest
//	entry:   kind (1) | sequence (8) | expiry (8) | offset (4) | size of the record (4) | key length k (2) | key (k)
//
// crc is CRC-32C (Castagnoli). The crc of a record covers the number of its segment (8), its offset in the segment (8),
// n (4) and the body, so that a copy of a record at another place is not valid. Of the records of a key, the one with
// the highest sequence number applies. Compact copies records with their sequence numbers. The end of a segment is the
// end of its last valid record; bytes after it are ignored.
//
// A hint file lists the keys of its segment, so that the store can be opened without reading the values. It is written
// after its segment has been sealed, and never synced. A hint file is not used, and is written again, if it is
// incomplete, belongs to another segment, or states a segment end beyond the end of the segment's file.
//
// The segment to which records are written is called active, and the others are sealed. A store never appends to a
// segment that existed when it was opened: bytes of an incomplete record that a crash left at its end stay there.
//
// A record is live if it is a put that applies and has not expired. The oldest segments are removed as long as they
// contain no live record. Compact seals the active segment and copies the live records of all sealed segments to a new
// segment. The number of the new segment is lower than that of the next active one, so that a delete during the
// compaction is in a later segment than the copy of its entry. The old segments are removed in order, and each removal
// is made durable before the next, so that a put never stays on the disk longer than the delete of its key.
package store
