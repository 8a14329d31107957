package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// form is the version of the form of news. A member of another form is no peer: what it tells is counted and dropped.
const form = 1

const (
	mostNews  = 1 << 20 // bytes
	mostHop   = 256     // bytes of a next hop's id
	hintsEach = 8       // hints of a datagram
)

// ErrNews says that news can't be read. Errors of unpack wrap it.
var ErrNews = errors.New("gossip: news not of a known form")

type parcel struct {
	Form    uint                `cbor:"1,keyasint"`
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
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: membership.MostMembers, MaxMapPairs: 64,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func pack(records []membership.Record) ([]byte, error) {
	return cbor.Marshal(parcel{Form: form, Records: records})
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
	return cbor.Marshal(parcel{Form: form, Records: records, Floors: floors, Hints: hints})
}

func packHints(hints []core.Hint) ([]byte, error) {
	return cbor.Marshal(parcel{Form: form, Hints: hints})
}

func packGiven(g given) ([]byte, error) {
	return cbor.Marshal(parcel{Form: form, Given: &g})
}

// unpack reads news. Records that can't be are the view's to drop and count.
func unpack(text []byte) (parcel, error) {
	if len(text) > mostNews {
		return parcel{}, fmt.Errorf("%w: %d bytes, %d at most", ErrNews, len(text), mostNews)
	}
	var p parcel
	if err := reader.Unmarshal(text, &p); err != nil {
		return parcel{}, fmt.Errorf("%w: %w", ErrNews, err)
	}
	for i, h := range p.Hints {
		if h.Worker == "" || len(h.Worker) > mostHop || len(h.Source) > membership.MostSource {
			return parcel{}, fmt.Errorf("%w: hint %d is of no hop or source that can be", ErrNews, i)
		}
	}
	if g := p.Given; g != nil && (len(g.Text) == 0 || len(g.Text) > core.MostShared || len(g.Member) > membership.MostName || len(g.Config.Source) > membership.MostSource) {
		return parcel{}, fmt.Errorf("%w: a configuration of %d bytes, 1 to %d", ErrNews, len(g.Text), core.MostShared)
	}
	if p.Form != form {
		return parcel{}, fmt.Errorf("%w: form %d, this program reads %d", ErrNews, p.Form, form)
	}
	return p, nil
}

func digestText(d uint64) []byte { return binary.BigEndian.AppendUint64([]byte{form}, d) }

func digestOf(text []byte) (uint64, bool) {
	if len(text) != 9 || text[0] != form {
		return 0, false
	}
	return binary.BigEndian.Uint64(text[1:]), true
}
