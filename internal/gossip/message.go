package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// protocolVersion is the version of the messages. A member of another version is no peer: what it tells is counted and dropped.
const protocolVersion = 1

const (
	mostNews     = 1 << 20 // bytes
	mostWorkerID = 256     // bytes of a worker's id
	hintsEach    = 8       // hints of a datagram
)

// ErrMessage says that news can't be read. Errors of unpack wrap it.
var ErrMessage = errors.New("gossip: message of no known version")

type message struct {
	Version uint                `cbor:"1,keyasint"`
	Records []membership.Record `cbor:"2,keyasint,omitempty"`
	Hints   []core.Hint         `cbor:"3,keyasint,omitempty"`
	Floors  []membership.Floor  `cbor:"4,keyasint,omitempty"`
	Ask     *ask                `cbor:"5,keyasint,omitempty"`
	Answer  *membership.Contact `cbor:"6,keyasint,omitempty"`
	Want    *want               `cbor:"7,keyasint,omitempty"`
	Given   *given              `cbor:"8,keyasint,omitempty"`
	Behind  *behind             `cbor:"9,keyasint,omitempty"`
}

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: membership.MaxMembers, MaxMapPairs: 64,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func pack(records []membership.Record) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Records: records})
}

// ask is a question whose answer says that the asker is in touch.
type ask struct {
	Process uint64  `cbor:"1,keyasint"`
	Sent    float64 `cbor:"2,keyasint"`
}

// want asks for the configuration that a member acts on.
type want struct {
	Process uint64             `cbor:"1,keyasint"` // that asks
	Config  membership.Version `cbor:"2,keyasint"`
}

// behind asks for the drains that a member with a newer list knows of.
type behind struct {
	Process uint64 `cbor:"1,keyasint"` // that asks
}

// given is a configuration's shared part.
type given struct {
	Config membership.Version `cbor:"1,keyasint"`
	Member string             `cbor:"2,keyasint"` // that gives it
	Text   []byte             `cbor:"3,keyasint"`
}

// packAll is everything that is told in an exchange.
func packAll(records []membership.Record, floors []membership.Floor, hints []core.Hint) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Records: records, Floors: floors, Hints: hints})
}

func packHints(hints []core.Hint) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Hints: hints})
}

func packGiven(g given) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Given: &g})
}

// unpack reads news. Records that can't be are the view's to drop and count.
func unpack(text []byte) (message, error) {
	if len(text) > mostNews {
		return message{}, fmt.Errorf("%w: %d bytes, %d at most", ErrMessage, len(text), mostNews)
	}
	var p message
	if err := reader.Unmarshal(text, &p); err != nil {
		return message{}, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	for i, h := range p.Hints {
		if h.Worker == "" || len(h.Worker) > mostWorkerID || len(h.Source) > membership.MaxSourceBytes {
			return message{}, fmt.Errorf("%w: hint %d is of no worker or source that can be", ErrMessage, i)
		}
	}
	if g := p.Given; g != nil && (len(g.Text) == 0 || len(g.Text) > core.MaxSharedBytes || len(g.Member) > membership.MaxNameBytes || len(g.Config.Source) > membership.MaxSourceBytes) {
		return message{}, fmt.Errorf("%w: a configuration of %d bytes, 1 to %d", ErrMessage, len(g.Text), core.MaxSharedBytes)
	}
	if p.Version != protocolVersion {
		return message{}, fmt.Errorf("%w: version %d, this program reads %d", ErrMessage, p.Version, protocolVersion)
	}
	return p, nil
}

func digestText(d uint64) []byte { return binary.BigEndian.AppendUint64([]byte{protocolVersion}, d) }

func digestOf(text []byte) (uint64, bool) {
	if len(text) != 9 || text[0] != protocolVersion {
		return 0, false
	}
	return binary.BigEndian.Uint64(text[1:]), true
}
