// Package snapshot writes a dispatcher's state down and reads it back: CBOR (RFC 8949) behind a header with a
// magic word, a schema version, a length and a checksum. It has no I/O. Whatever is read is taken for hostile: a
// truncated, altered, too large or unknown snapshot is a named error, never a panic.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/core"
)

// Schema is the version of the format written here. It changes whenever a reader of the last one would misread it.
const Schema uint16 = 2

// MaxBytes bounds a snapshot: 4,096 open requests with full bodies of 64 KiB.
const MaxBytes = 272 << 20

const (
	magic      = "FOLD"
	headerSize = len(magic) + 2 + 8 + sha256.Size
	mostItems  = 1 << 20 // elements of an array, pairs of a map
	mostNested = 16
)

// The ways in which a snapshot can be refused.
var (
	ErrTruncated = errors.New("snapshot: truncated")
	ErrMagic     = errors.New("snapshot: not a snapshot")
	ErrSchema    = errors.New("snapshot: schema version not known")
	ErrTooLarge  = errors.New("snapshot: too large")
	ErrChecksum  = errors.New("snapshot: checksum does not match")
	ErrFormat    = errors.New("snapshot: not of the format that its schema names")
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: mostItems, MaxMapPairs: mostItems,
		MaxNestedLevels: mostNested, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal writes a value as CBOR, without a header.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal reads what Marshal wrote. Its errors wrap ErrFormat.
func Unmarshal(text []byte, v any) error {
	if err := decoder.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}

// Encode writes a reducer's state, with its header. The same state makes the same bytes; st is put in order.
func Encode(st core.State) ([]byte, error) {
	st.Sort()
	body, err := Marshal(st)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(body)+headerSize > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(body)+headerSize, MaxBytes)
	}
	return Seal(body), nil
}

// Seal puts a header before a body.
func Seal(body []byte) []byte {
	out := make([]byte, 0, headerSize+len(body))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint16(out, Schema)
	out = binary.BigEndian.AppendUint64(out, uint64(len(body)))
	sum := sha256.Sum256(body)
	out = append(out, sum[:]...)
	return append(out, body...)
}

// Open checks a header and returns the body behind it.
func Open(text []byte) ([]byte, error) {
	if len(text) < headerSize {
		return nil, fmt.Errorf("%w: %d bytes, a header has %d", ErrTruncated, len(text), headerSize)
	}
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(text), MaxBytes)
	}
	if string(text[:len(magic)]) != magic {
		return nil, ErrMagic
	}
	rest := text[len(magic):]
	if v := binary.BigEndian.Uint16(rest); v != Schema {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrSchema, v, Schema)
	}
	length, sum, body := binary.BigEndian.Uint64(rest[2:]), rest[10:10+sha256.Size], rest[10+sha256.Size:]
	if length != uint64(len(body)) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTruncated, len(body), length)
	}
	if sha256.Sum256(body) != [sha256.Size]byte(sum) {
		return nil, ErrChecksum
	}
	return body, nil
}

// Decode reads what Encode wrote. Whether the state fits together is core.Import's to tell.
func Decode(text []byte) (core.State, error) {
	var st core.State
	body, err := Open(text)
	if err == nil {
		err = Unmarshal(body, &st)
	}
	return st, err
}
