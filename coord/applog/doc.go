// Package applog keeps an append-only file of checksummed records.
//
// Appends go to a buffer in memory. One background goroutine writes the buffer and syncs the file, so that
// all callers that wait at one time share one fdatasync (group commit). A log that has become long is
// replaced by Rewrite with the records that are still wanted.
//
// A record is a header of 8 bytes and a payload. The header holds a little-endian word, with the length of
// the payload in the lower 24 bits and a fixed marker in the upper 8, and the CRC-32C of the record. The
// checksum starts from the record's offset, so bytes are a valid record only where they were written; a
// copy of a record within a payload is never taken for one.
package applog
