package rpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Parts of the update stream. Each is encoded as a View that has only the fields of that part.
const (
	StreamHeader    = iota // the leader's epoch
	StreamConfig           // the operator's configuration
	StreamMap              // stores and the owners of partitions
	StreamWorkers          // the platform's list of workers; not needed by dispatchers
	StreamAddresses        // addresses of the control processes
	StreamPartCount        // number of parts
)

// FormatPartVersion formats the version of a part as its numbers with dots between them: the version of a configuration or of a table, or the
// epoch and the version of the worker list.
func FormatPartVersion(numbers ...uint64) string {
	var name []byte
	for position, number := range numbers {
		if position > 0 {
			name = append(name, '.')
		}
		name = strconv.AppendUint(name, number, 10)
	}
	return string(name)
}

// MaxViewBytes bounds the decompressed size of a frame. DecodeView reads no further.
const MaxViewBytes = 64 << 20

// gzipMagic is the prefix of a compressed frame. The encoding of a View never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// EncodeView encodes and compresses a part of the stream; the result is sent to all subscribers. Gzip members and encoded protobuf
// messages may both be concatenated, so a frame of several parts decodes to one View.
func EncodeView(view *View) ([]byte, error) {
	encoded, err := proto.Marshal(view)
	if err != nil {
		return nil, errors.Wrap(err, "encode a part of the stream")
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(encoded) // writes to a bytes.Buffer never fail
	_ = writer.Close()
	return compressed.Bytes(), nil
}

// DecodeView decodes a frame, compressed or not. After an error the subscriber must reconnect.
func DecodeView(frame []byte) (*View, error) {
	if bytes.HasPrefix(frame, gzipMagic) {
		reader, err := gzip.NewReader(bytes.NewReader(frame))
		if err != nil {
			return nil, errors.Wrap(err, "decompress an update: reconnect")
		}
		if frame, err = io.ReadAll(io.LimitReader(reader, MaxViewBytes)); err != nil {
			return nil, errors.Wrap(err, "decompress an update: reconnect")
		}
	}
	view := &View{}
	if err := proto.Unmarshal(frame, view); err != nil {
		return nil, errors.Wrap(err, "decode an update: reconnect")
	}
	return view, nil
}
