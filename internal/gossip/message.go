package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// protocolVersion is the version of the messages. Messages of other versions are counted and dropped.
const protocolVersion = 1

const (
	maxMessageBytes  = 1 << 20 // encoded message
	maxWorkerIDBytes = 256     // worker id
	hintsPerDatagram = 8       // hints per datagram
)

// ErrMessage reports a message that can't be decoded. Errors of decodeMessage wrap it.
var ErrMessage = errors.New("gossip: invalid message or unknown version")

// message is a message between members; all fields but Version are optional.
type message struct {
	Version       uint                `cbor:"1,keyasint"`
	Records       []membership.Record `cbor:"2,keyasint,omitempty"`
	Hints         []core.Hint         `cbor:"3,keyasint,omitempty"`
	Floors        []membership.Floor  `cbor:"4,keyasint,omitempty"`
	Poll          *poll               `cbor:"5,keyasint,omitempty"`
	PollReply     *membership.Contact `cbor:"6,keyasint,omitempty"`
	ConfigRequest *configRequest      `cbor:"7,keyasint,omitempty"`
	ConfigReply   *configReply        `cbor:"8,keyasint,omitempty"`
	HintsRequest  *hintsRequest       `cbor:"9,keyasint,omitempty"`
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: membership.MaxMembers, MaxMapPairs: 64,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func encodeRecords(records []membership.Record) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Records: records})
}

// poll is a lease query: the reply confirms contact with the sending process. Sent is in seconds of the sender's clock.
type poll struct {
	Process uint64  `cbor:"1,keyasint"`
	Sent    float64 `cbor:"2,keyasint"`
}

// configRequest requests the shared part of a configuration from a member that applies it.
type configRequest struct {
	Process uint64             `cbor:"1,keyasint"` // that asks
	Config  membership.Version `cbor:"2,keyasint"`
}

// hintsRequest requests the drains known to a member with a newer route set.
type hintsRequest struct {
	Process uint64 `cbor:"1,keyasint"` // that asks
}

// configReply carries the shared part of a configuration.
type configReply struct {
	Config membership.Version `cbor:"1,keyasint"`
	Member string             `cbor:"2,keyasint"` // sender's name
	Text   []byte             `cbor:"3,keyasint"`
}

// encodeState encodes the full state for an exchange.
func encodeState(records []membership.Record, floors []membership.Floor, hints []core.Hint) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Records: records, Floors: floors, Hints: hints})
}

func encodeHints(hints []core.Hint) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, Hints: hints})
}

func encodeConfigReply(g configReply) ([]byte, error) {
	return cbor.Marshal(message{Version: protocolVersion, ConfigReply: &g})
}

// decodeMessage decodes a message and checks its bounds. Invalid records are left for the view to drop and count.
func decodeMessage(text []byte) (message, error) {
	if len(text) > maxMessageBytes {
		return message{}, fmt.Errorf("%w: %d bytes, %d at most", ErrMessage, len(text), maxMessageBytes)
	}
	var p message
	if err := decoder.Unmarshal(text, &p); err != nil {
		return message{}, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	for i, h := range p.Hints {
		if h.Worker == "" || len(h.Worker) > maxWorkerIDBytes || len(h.Source) > membership.MaxSourceBytes {
			return message{}, fmt.Errorf("%w: hint %d has no valid worker or source", ErrMessage, i)
		}
	}
	if g := p.ConfigReply; g != nil && (len(g.Text) == 0 || len(g.Text) > core.MaxSharedBytes || len(g.Member) > membership.MaxNameBytes || len(g.Config.Source) > membership.MaxSourceBytes) {
		return message{}, fmt.Errorf("%w: configuration of %d bytes, must have 1 to %d, or its member or source is too long", ErrMessage, len(g.Text), core.MaxSharedBytes)
	}
	if p.Version != protocolVersion {
		return message{}, fmt.Errorf("%w: version %d, this program reads %d", ErrMessage, p.Version, protocolVersion)
	}
	return p, nil
}

func encodeDigest(d uint64) []byte { return binary.BigEndian.AppendUint64([]byte{protocolVersion}, d) }

func decodeDigest(text []byte) (uint64, bool) {
	if len(text) != 9 || text[0] != protocolVersion {
		return 0, false
	}
	return binary.BigEndian.Uint64(text[1:]), true
}
