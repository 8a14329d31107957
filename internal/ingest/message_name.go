package ingest

import (
	"encoding/hex"
	"math/rand/v2"
	"strconv"
)

const (
	partitionDigits = 2
	randomDigits    = 16
	nameLength      = partitionDigits + 1 + randomDigits
)

// messageName returns the name of a message: the partition in hexadecimal, a dash, and random digits.
func messageName(partition uint32, random uint64) string {
	var raw [9]byte
	raw[0] = byte(partition)
	for i := range 8 {
		raw[1+i] = byte(random >> (56 - 8*i))
	}
	var digits [nameLength]byte
	hex.Encode(digits[:partitionDigits], raw[:1])
	digits[partitionDigits] = '-'
	hex.Encode(digits[partitionDigits+1:], raw[1:])
	return string(digits[:])
}

// partitionOf parses the partition from a message's name. ok is false if the name does not have the form that
// messageName gives.
func partitionOf(name string) (partition uint32, ok bool) {
	if len(name) != nameLength || name[partitionDigits] != '-' {
		return 0, false
	}
	number, err := strconv.ParseUint(name[:partitionDigits], 16, 8)
	if err != nil {
		return 0, false
	}
	if _, err := strconv.ParseUint(name[partitionDigits+1:], 16, 64); err != nil {
		return 0, false
	}
	return uint32(number), true
}

// randomID returns the random part of a message name, or an incarnation.
func randomID() uint64 { return rand.Uint64() }

// isFreePartition reports whether a partition is for messages without a partition key.
func isFreePartition(partition uint32) bool { return partition%2 == 1 }
