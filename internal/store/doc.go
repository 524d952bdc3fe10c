// Package store keeps small entries that have to survive a crash: a log of segments with an index in memory.
//
// # Guarantees
//
//   - An entry is confirmed when Put or Delete has returned nil: its record and all before it in its segment were
//     synced. Recovery never loses a confirmed entry, whenever the process or the machine stopped.
//   - Recovery never yields an entry that nobody put, nor one made of two halves. An entry whose Put returned an error,
//     or had not returned, may be there or not.
//   - After a failed sync nothing later in that segment counts as durable: the segment is sealed at what was confirmed,
//     and the next batch goes to a new one.
//   - When the disk is full, Put fails and the store goes on: existing entries stay, and the next Put tries again.
//   - A record that the disk has changed is found by its checksum, left out and reported; those around it stay.
//
// An entry has a time at which it expires; after that it is not found, and Maintain reclaims its space. The clock has
// to mean the same after a restart. A clock that goes back only makes entries live longer.
//
// With Options.SyncEvery an entry is confirmed once the operating system has it: the end of the process loses nothing,
// a loss of power what was not synced yet.
//
// # Format, version 1
//
// A directory holds segments, "%016x.log", numbered from 1, a hint file, "%016x.hint", for most of the sealed ones, and
// "lock". All numbers are little-endian.
//
//	segment: header, then records back to back
//	header:  magic "hzwlog" 00 01 (8 bytes) | number (8) | crc (4) of the 16 bytes before | 0 (4)
//	record:  length n of the body (4) | crc (4) | body (n)
//	body:    kind (1): 1 put, 2 delete | sequence (8) | expiry, Unix ms (8) | key length k (2) | key (k) | value
//	hint:    magic "hzwhnt" 00 01 (8) | number (8) | the segment's end (8) | count (4) | entries | crc (4) of the rest
//	entry:   kind (1) | sequence (8) | expiry (8) | offset (4) | size of the record (4) | key length k (2) | key (k)
//
// crc is CRC-32C (Castagnoli). That of a record covers its segment's number (8), its offset in the segment (8), n (4)
// and the body: a copy of a record in another place is not a record. The record with the highest sequence number counts
// for a key; Compact copies records with their sequence number. A segment ends with its file, or at the first byte from
// which on nothing is a record.
//
// A hint file lists the keys of its segment, so that a start need not read the values. It is written after the segment
// was sealed and never synced: one that is incomplete, of another segment, or of a longer one is written again.
//
// A store never appends to a segment that it found when it was opened: what a crash left at its end stays there, and is
// not a record. Segments are removed from the oldest on while no record in them counts. Compact takes all segments but
// the active one, and numbers its own below that: a delete that comes while it copies lies in a later segment than the
// copy. The old segments are removed in order, each removal made durable before the next, so that no put outlives its
// delete.
package store
