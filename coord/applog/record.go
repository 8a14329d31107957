package applog

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	headerBytes = 8
	lengthBytes = 4

	lengthMask = 1<<24 - 1
	marker     = 0xA7 << 24

	// MaxPayloadBytes is the length of the longest payload of one record.
	MaxPayloadBytes = lengthMask
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Position says where the payload of a record is. It is valid until the next Rewrite.
type Position struct {
	Offset     int64 // of the payload, in bytes from the start of the file
	Length     int   // of the payload, in bytes
	Generation uint32
}

// end returns the offset of the byte after the record.
func (p Position) end() int64 { return p.Offset + int64(p.Length) }

// start returns the offset of the record's header.
func (p Position) start() int64 { return p.Offset - headerBytes }

// recordBytes returns the length of a record with its header.
func recordBytes(payloadLength int) int64 { return headerBytes + int64(payloadLength) }

// appendRecord appends to buffer the record of payload at the offset of the file.
func appendRecord(buffer []byte, offset int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, marker|uint32(len(payload)))
	sum := checksum(offset, buffer[start:], payload)
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// payloadLength returns the length that a header states, or false where it is no header.
func payloadLength(header []byte) (int, bool) {
	word := binary.LittleEndian.Uint32(header)
	if word&^uint32(lengthMask) != marker {
		return 0, false
	}
	return int(word & lengthMask), true
}

// validRecord reports whether record is a whole record that was written at the offset.
func validRecord(record []byte, offset int64) bool {
	length, ok := payloadLength(record)
	if !ok || len(record) != headerBytes+length {
		return false
	}
	sum := binary.LittleEndian.Uint32(record[lengthBytes:])
	return sum == checksum(offset, record[:lengthBytes], record[headerBytes:])
}

func checksum(offset int64, lengthWord, payload []byte) uint32 {
	sum := crc32.Update(uint32(offset), castagnoli, lengthWord)
	return crc32.Update(sum, castagnoli, payload)
}
