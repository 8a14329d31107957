package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

func TestRecordKeepsKindTimeAndPayload(t *testing.T) {
	written := time.UnixMilli(1_700_000_000_123)
	for kind, payload := range map[byte]proto.Message{
		recordMessage: &rpc.Message{Name: "m", Body: []byte{0, 1, 2}, Epoch: 3, Seq: 4},
		recordFate:    &rpc.Fate{Name: "m", State: rpc.State_COMPLETED, Stamp: "s", Attempts: 2},
		recordFence:   &rpc.PartitionEpoch{Partition: 5, Epoch: 6},
	} {
		data, err := encodeRecord(kind, written, payload)
		must.NoError(t, err)
		r, err := decodeRecord(data)
		must.NoError(t, err)
		must.Eq(t, kind, r.kind)
		must.True(t, written.Equal(r.written))
		decoded := payload.ProtoReflect().New().Interface()
		must.NoError(t, proto.Unmarshal(r.payload, decoded))
		must.True(t, proto.Equal(payload, decoded))
	}
}

func TestIdentityRecord(t *testing.T) {
	r, err := decodeRecord(encodeText(recordIdentity, time.UnixMilli(7), "disk"))
	must.NoError(t, err)
	must.Eq(t, recordIdentity, int(r.kind))
	must.Eq(t, "disk", string(r.payload))
}

func TestDecodeMessageRefusesOtherRecords(t *testing.T) {
	fate, err := encodeRecord(recordFate, time.UnixMilli(1), &rpc.Fate{Name: "m"})
	must.NoError(t, err)
	_, err = decodeMessage(fate)
	must.Error(t, err)
	_, err = decodeMessage(fate[:recordHeaderBytes-1])
	must.Error(t, err)
	_, err = decodeMessage(append([]byte{recordMessage, 0, 0, 0, 0, 0, 0, 0, 0}, 0xff))
	must.Error(t, err)
}
