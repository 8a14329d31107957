// Package snapshot encodes and decodes a dispatcher's state: CBOR (RFC 8949) after a header with a magic number,
// a schema version, a length and a checksum. It has no I/O. Input is untrusted: a truncated, altered, oversized or
// unknown snapshot gives one of the errors below, never a panic.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/core"
)

// Schema is the version of the format written here. It must change whenever a reader of the previous version would misinterpret
// the new one.
const Schema uint16 = 2

// MaxBytes bounds a snapshot, header included: 4,096 open requests with bodies of 64 KiB, and the rest of the state.
const MaxBytes = 272 << 20

const (
	magic      = "FOLD"
	headerSize = len(magic) + 2 + 8 + sha256.Size
	maxItems   = 1 << 20 // elements of an array, pairs of a map
	maxNesting = 16
)

// Errors for which a snapshot is rejected. ErrFormat means that the content doesn't match the schema.
var (
	ErrTruncated = errors.New("snapshot: truncated")
	ErrMagic     = errors.New("snapshot: not a snapshot")
	ErrSchema    = errors.New("snapshot: unknown schema version")
	ErrTooLarge  = errors.New("snapshot: too large")
	ErrChecksum  = errors.New("snapshot: checksum does not match")
	ErrFormat    = errors.New("snapshot: content does not match its schema")
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
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxItems, MaxMapPairs: maxItems,
		MaxNestedLevels: maxNesting, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes a value as CBOR, without a header.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes CBOR encoded by Marshal. Errors wrap ErrFormat.
func Unmarshal(text []byte, v any) error {
	if err := decoder.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}

// Encode encodes a reducer's state with a header. Equal states give equal bytes; st is sorted for that. It returns an error that wraps
// ErrTooLarge beyond MaxBytes.
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

// Seal returns the body with a header.
func Seal(body []byte) []byte {
	out := make([]byte, 0, headerSize+len(body))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint16(out, Schema)
	out = binary.BigEndian.AppendUint64(out, uint64(len(body)))
	sum := sha256.Sum256(body)
	out = append(out, sum[:]...)
	return append(out, body...)
}

// Open checks the header and checksum and returns the body.
func Open(text []byte) ([]byte, error) {
	if len(text) < headerSize {
		return nil, fmt.Errorf("%w: %d bytes, header needs %d", ErrTruncated, len(text), headerSize)
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
		return nil, fmt.Errorf("%w: body has %d of %d bytes", ErrTruncated, len(body), length)
	}
	if sha256.Sum256(body) != [sha256.Size]byte(sum) {
		return nil, ErrChecksum
	}
	return body, nil
}

// Decode decodes a state encoded by Encode. core.Import checks its consistency.
func Decode(text []byte) (core.State, error) {
	var st core.State
	body, err := Open(text)
	if err == nil {
		err = Unmarshal(body, &st)
	}
	return st, err
}
