package rpc

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

func TestFrameOfSeveralPartsDecodesAsOneView(t *testing.T) {
	var frame []byte
	for _, part := range []*View{
		{LeaderEpoch: 7},
		{Config: &ConfigView{Version: 3, Config: []byte("{}")}},
		{Map: &MapView{Version: 9, Copies: 2}},
	} {
		encoded, err := EncodeView(part)
		must.NoError(t, err)
		frame = append(frame, encoded...)
	}
	view, err := DecodeView(frame)
	must.NoError(t, err)
	must.Eq(t, 7, view.LeaderEpoch)
	must.Eq(t, 3, view.Config.Version)
	must.Eq(t, 9, view.Map.Version)
}

func TestUncompressedFrameDecodes(t *testing.T) {
	encoded, err := proto.Marshal(&View{LeaderEpoch: 7})
	must.NoError(t, err)
	view, err := DecodeView(encoded)
	must.NoError(t, err)
	must.Eq(t, 7, view.LeaderEpoch)
}

func TestTruncatedFrameIsRejected(t *testing.T) {
	encoded, err := EncodeView(&View{Config: &ConfigView{Version: 3, Config: make([]byte, 1000)}})
	must.NoError(t, err)
	for _, cut := range []int{3, len(encoded) / 2, len(encoded) - 1} {
		_, err := DecodeView(encoded[:cut])
		must.Error(t, err)
	}
}
