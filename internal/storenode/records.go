package storenode

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/rpc"
)

// Kinds of records in a store's log. The first byte of a record is its kind; the next eight are the Unix time in milliseconds at which it
// was written, in little-endian order.
const (
	recordMessage     = 1 // rpc.Message with its body
	recordFate        = 2 // rpc.Fate
	recordFence       = 3 // rpc.PartitionEpoch
	recordIdentity    = 4 // the disk's identity, as text
	recordStart       = 5 // the number of a start of the process, as hexadecimal text
	recordHeaderBytes = 9 // length of kind and time before the payload
)

// record is a decoded record.
type record struct {
	kind    byte
	written time.Time
	payload []byte
}

// encodeRecord returns a record whose payload is a protobuf message.
func encodeRecord(kind byte, now time.Time, payload proto.Message) ([]byte, error) {
	header := make([]byte, recordHeaderBytes, recordHeaderBytes+proto.Size(payload))
	header[0] = kind
	binary.LittleEndian.PutUint64(header[1:], uint64(now.UnixMilli()))
	return proto.MarshalOptions{}.MarshalAppend(header, payload)
}

// encodeText returns a record whose payload is text.
func encodeText(kind byte, now time.Time, text string) []byte {
	header := make([]byte, recordHeaderBytes, recordHeaderBytes+len(text))
	header[0] = kind
	binary.LittleEndian.PutUint64(header[1:], uint64(now.UnixMilli()))
	return append(header, text...)
}

// decodeRecord splits a record into header and payload. The payload aliases data.
func decodeRecord(data []byte) (record, error) {
	if len(data) < recordHeaderBytes {
		return record{}, errors.Errorf("storenode: a record of %d bytes is shorter than its header; restore the disk from other stores", len(data))
	}
	written := time.UnixMilli(int64(binary.LittleEndian.Uint64(data[1:])))
	return record{kind: data[0], written: written, payload: data[recordHeaderBytes:]}, nil
}

// decodeMessage returns the message of a record of kind recordMessage. It returns an error for records of other kinds.
func decodeMessage(data []byte) (*rpc.Message, error) {
	r, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	m := &rpc.Message{}
	if r.kind != recordMessage {
		return nil, errors.Errorf("storenode: record has kind %d, not that of a message", r.kind)
	}
	return m, errors.Wrap(proto.Unmarshal(r.payload, m), "storenode: decode message record")
}

// readMessage reads the named message from the log. If the record is not that message, the error is applog.ErrCorrupt; other errors prove
// nothing about the record.
func (n *Node) readMessage(position applog.Position, name string) (*rpc.Message, error) {
	data, err := n.file.Read(position)
	if err != nil {
		return nil, err
	}
	m, err := decodeMessage(data)
	if err != nil {
		return nil, errors.Wrap(applog.ErrCorrupt, err.Error())
	}
	if m.Name != name {
		return nil, errors.Wrapf(applog.ErrCorrupt, "storenode: record holds message %s, not %s", m.Name, name)
	}
	return m, nil
}

// withBody adds the body to a message and returns it.
func withBody(current *rpc.Message, body []byte) *rpc.Message {
	current.Body, current.BodyBytes = body, 0
	return current
}
