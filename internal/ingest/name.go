package ingest

import (
	"encoding/hex"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
)

const (
	partitionDigits = 2
	randomDigits    = 16
	nameLength      = partitionDigits + 1 + randomDigits
)

// messageName is the name of a message: the partition in hexadecimal, a dash, and random digits.
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

// partitionOf reads the partition from a message's name. ok is false for a name that is not of our making.
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

// randomName draws the random part of a name.
func randomName() uint64 { return rand.Uint64() }

// Even partitions are for messages that a key or a rate pins to one owner, odd ones for those that may go to any. So a
// partition with an order is not held up by long runs of messages without one when it is handed over.

// hashPartition maps a key to one of the even partitions of so many. All dispatchers must agree on it.
func hashPartition(key string, partitions uint32) uint32 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	pairs := max(1, uint64(partitions)/2)
	return uint32(hash.Sum64() % pairs * 2)
}

// isFree reports whether a partition is for messages that may go to any.
func isFree(partition uint32) bool { return partition%2 == 1 }
