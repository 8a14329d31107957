package applog

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	headerBytes = 8
	lengthBytes = 4

	lengthMask   = 1<<24 - 1
	recordMarker = 0xA7 << 24 // upper 8 bits of the length word

	// MaxPayloadBytes is the maximum length of a record's payload: just below 16 MiB.
	MaxPayloadBytes = lengthMask
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Position locates the payload of a record. It is valid until the next Rewrite.
type Position struct {
	Offset     int64  // of the payload, in bytes from the start of the file
	Length     int    // of the payload, in bytes
	Generation uint32 // 1 after Open; each successful Rewrite increments it
}

// recordEnd returns the offset of the byte after the record.
func (p Position) recordEnd() int64 { return p.Offset + int64(p.Length) }

// recordStart returns the offset of the record's header.
func (p Position) recordStart() int64 { return p.Offset - headerBytes }

// recordBytes returns the length in bytes of a record, including its header.
func recordBytes(payloadLength int) int64 { return headerBytes + int64(payloadLength) }

// appendRecord encodes a record with payload and appends it to buffer. The offset is that of the record in the
// file; the record is valid only there.
func appendRecord(buffer []byte, offset int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, recordMarker|uint32(len(payload)))
	sum := checksum(offset, buffer[start:], payload)
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// payloadLength returns the payload length stated in a header, or false if the header lacks the marker.
func payloadLength(header []byte) (int, bool) {
	word := binary.LittleEndian.Uint32(header)
	if word&^uint32(lengthMask) != recordMarker {
		return 0, false
	}
	return int(word & lengthMask), true
}

// validRecord reports whether record is a complete record that was encoded for the offset.
func validRecord(record []byte, offset int64) bool {
	length, ok := payloadLength(record)
	if !ok || len(record) != headerBytes+length {
		return false
	}
	sum := binary.LittleEndian.Uint32(record[lengthBytes:])
	return sum == checksum(offset, record[:lengthBytes], record[headerBytes:])
}

// checksum returns the CRC-32C of the length word and the payload, seeded with the lower 32 bits of the offset.
func checksum(offset int64, lengthWord, payload []byte) uint32 {
	sum := crc32.Update(uint32(offset), castagnoli, lengthWord)
	return crc32.Update(sum, castagnoli, payload)
}
