package storenode

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/rpc"
)

// Kinds of records in a store's log. The first byte of a record tells its kind, the next eight the time of day at which it
// was written, in milliseconds.
const (
	recordMessage  = 1 // rpc.Message, with its body
	recordFate     = 2 // rpc.Fate
	recordFence    = 3 // rpc.PartitionEpoch
	recordIdentity = 4 // the disk's identity
	recordStart    = 5 // the number of a start of the process
	recordHeader   = 9 // bytes before the payload
)

// record is one decoded record.
type record struct {
	kind    byte
	written time.Time
	payload []byte
}

func encodeRecord(kind byte, now time.Time, payload proto.Message) ([]byte, error) {
	header := make([]byte, recordHeader, recordHeader+proto.Size(payload))
	header[0] = kind
	binary.LittleEndian.PutUint64(header[1:], uint64(now.UnixMilli()))
	return proto.MarshalOptions{}.MarshalAppend(header, payload)
}

// encodeText returns a record whose payload is plain text: the disk's identity, or a start.
func encodeText(kind byte, now time.Time, text string) []byte {
	header := make([]byte, recordHeader, recordHeader+len(text))
	header[0] = kind
	binary.LittleEndian.PutUint64(header[1:], uint64(now.UnixMilli()))
	return append(header, text...)
}

func decodeRecord(data []byte) (record, error) {
	if len(data) < recordHeader {
		return record{}, errors.Errorf("storenode: a record of %d bytes is shorter than its header; restore the disk from other stores", len(data))
	}
	written := time.UnixMilli(int64(binary.LittleEndian.Uint64(data[1:])))
	return record{kind: data[0], written: written, payload: data[recordHeader:]}, nil
}

// decodeMessage returns the message of a record of kind recordMessage.
func decodeMessage(data []byte) (*rpc.Message, error) {
	r, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	m := &rpc.Message{}
	if r.kind != recordMessage {
		return nil, errors.Errorf("storenode: record of kind %d where a message was expected", r.kind)
	}
	return m, errors.Wrap(proto.Unmarshal(r.payload, m), "storenode: message record")
}

// readMessage reads the message of this name from the log. Where the record is not that message, the error is applog.ErrCorrupt;
// other errors say nothing of the record.
func (n *Node) readMessage(at applog.Position, name string) (*rpc.Message, error) {
	data, err := n.file.Read(at)
	if err != nil {
		return nil, err
	}
	m, err := decodeMessage(data)
	if err != nil {
		return nil, errors.Wrap(applog.ErrCorrupt, err.Error())
	}
	if m.Name != name {
		return nil, errors.Wrapf(applog.ErrCorrupt, "storenode: message %s where %s was expected", m.Name, name)
	}
	return m, nil
}

// withBody completes what is known of a message now by its body.
func withBody(current *rpc.Message, body []byte) *rpc.Message {
	current.Body, current.BodyBytes = body, 0
	return current
}
