// Package trail writes a dispatcher's account to a folder, record behind record, each sealed by the one before, and reads the
// folders of any number of members back to see whether they kept what is promised.
package trail

import (
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/audit"
)

// FormatVersion is the version of the format written here, and the last word of each file's head.
const FormatVersion = 1

// A file begins with its head. After it come records: four bytes of length, big-endian; the record in CBOR; and a sum, which is the
// SHA-256 of the last record's sum and the record. The first sum of a file goes on from what its first record names.
const (
	head       = "FOLDAUDIT"
	headSize   = len(head) + 1
	lengthSize = 4
	sumSize    = sha256.Size
	mostRecord = 4 << 10 // bytes of a record
)

// Record is one entry. Just one of the pointers is set.
type Record struct {
	No    uint64          `cbor:"1,keyasint"` // counts a member's records over all files
	Wall  int64           `cbor:"2,keyasint"` // Unix milliseconds by the machine's clock, for people; nothing is ordered by it
	Clock float64         `cbor:"3,keyasint"` // seconds on the dispatcher's clock
	Begin *Begin          `cbor:"4,keyasint,omitempty"`
	Span  *audit.Span     `cbor:"5,keyasint,omitempty"`
	Gap   *Gap            `cbor:"6,keyasint,omitempty"`
	Held  *audit.Versions `cbor:"8,keyasint,omitempty"`
	End   *End            `cbor:"7,keyasint,omitempty"`
}

// Begin is the first record of a file.
type Begin struct {
	Member  string          `cbor:"1,keyasint"`
	Process uint64          `cbor:"2,keyasint"`           // drawn at a start, kept over a hand-over
	Last    []byte          `cbor:"3,keyasint"`           // sum of the record before; empty for the first file
	Cut     string          `cbor:"4,keyasint,omitempty"` // what was cut off or left behind as the file began
	Held    *audit.Versions `cbor:"5,keyasint,omitempty"` // what was acted on last, by the records before
}

// Gap says that records are missing here, and why.
type Gap struct {
	Missing uint64 `cbor:"1,keyasint"`
	Why     string `cbor:"2,keyasint"`
}

// End is what a process says of itself as it ends in order.
type End struct {
	Counts [audit.NumKinds]uint64 `cbor:"1,keyasint"` // over all its spans
	Spans  uint64                 `cbor:"2,keyasint"`
}

// The faults of a folder.
var (
	ErrVersion = errors.New("audit: of a newer format than this program reads")
	ErrMember  = errors.New("audit: another member's record")
	ErrBroken  = errors.New("audit: the chain is broken")
	ErrBusy    = errors.New("audit: another process writes this folder")
	ErrTorn    = errors.New("audit: the last record is torn")
)

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func sumOf(last, text []byte) []byte {
	h := sha256.New()
	h.Write(last)
	h.Write(text)
	return h.Sum(nil)
}
