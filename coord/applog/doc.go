// Package applog implements an append-only log file of checksummed records.
//
// Appends go to a buffer in memory. One background goroutine writes the buffer and syncs the file, so
// concurrent requests for a sync share one fdatasync (group commit). Rewrite compacts the log: it replaces
// the file with one that holds only the records that are still needed.
//
// A record is an 8-byte header followed by the payload. The header holds a little-endian 32-bit word, with
// the length of the payload in the lower 24 bits and a fixed marker in the upper 8, and the CRC-32C of the
// length word and the payload. The checksum is seeded with the record's offset, so bytes are a valid record
// only at the offset where they were written: a copy of a record inside a payload is not replayed.
package applog
