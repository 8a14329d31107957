// Package trail writes a dispatcher's audit records to a folder as a hash chain, and verifies the folders of any number of members:
// that no record is missing or altered, and that the members followed the rules for versions.
package trail

import (
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/audit"
)

// FormatVersion is the version of the format written here, stored in the last byte of each file header.
const FormatVersion = 1

// A file consists of a header and records. A record is a length of four bytes, big-endian; the record in CBOR; and a checksum, the SHA-256 of
// the previous record's checksum and the record. The first record of a file contains the previous checksum (Begin.Last).
const (
	fileMagic      = "FOLDAUDIT"
	headSize       = len(fileMagic) + 1
	lengthSize     = 4
	sumSize        = sha256.Size
	maxRecordBytes = 4 << 10 // of the CBOR of a record
)

// Record is an audit record. Exactly one of the pointers is set.
type Record struct {
	No    uint64          `cbor:"1,keyasint"` // consecutive over all files of a member
	Wall  int64           `cbor:"2,keyasint"` // Unix milliseconds of the wall clock, for display only; nothing is ordered by it
	Clock float64         `cbor:"3,keyasint"` // seconds of the dispatcher's clock
	Begin *Begin          `cbor:"4,keyasint,omitempty"`
	Span  *audit.Span     `cbor:"5,keyasint,omitempty"`
	Gap   *Gap            `cbor:"6,keyasint,omitempty"`
	Held  *audit.Versions `cbor:"8,keyasint,omitempty"`
	End   *End            `cbor:"7,keyasint,omitempty"`
}

// Begin is the first record of a file.
type Begin struct {
	Member  string          `cbor:"1,keyasint"`
	Process uint64          `cbor:"2,keyasint"`           // random id drawn at the start, kept across a handover
	Last    []byte          `cbor:"3,keyasint"`           // checksum of the previous record; empty in the first file
	Cut     string          `cbor:"4,keyasint,omitempty"` // what was cut off or could not be read of the previous file
	Held    *audit.Versions `cbor:"5,keyasint,omitempty"` // versions last applied according to the records before
}

// Gap reports how many records are missing here, and why.
type Gap struct {
	Missing uint64 `cbor:"1,keyasint"`
	Why     string `cbor:"2,keyasint"`
}

// End is written when a process ends in order.
type End struct {
	Counts [audit.NumKinds]uint64 `cbor:"1,keyasint"` // acts in all spans of the process, by kind
	Spans  uint64                 `cbor:"2,keyasint"` // number of spans
}

// Errors of a folder.
var (
	ErrVersion = errors.New("audit: of a newer format than this program reads")
	ErrMember  = errors.New("audit: another member's record")
	ErrBroken  = errors.New("audit: the chain is broken")
	ErrBusy    = errors.New("audit: another process writes this folder")
	ErrTorn    = errors.New("audit: the last record is torn")
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// chainSum returns the checksum of a record that follows one with the checksum last.
func chainSum(last, text []byte) []byte {
	h := sha256.New()
	h.Write(last)
	h.Write(text)
	return h.Sum(nil)
}
