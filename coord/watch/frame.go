package watch

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// FrameTooLargeError reports a frame that is longer than the client accepts.
type FrameTooLargeError struct {
	Bytes    uint64 // announced length
	MaxBytes uint64 // largest length that is accepted
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d: raise the client's limit, or reconnect",
		e.Bytes, e.MaxBytes)
}

// appendHeader appends the length prefix of a frame, a varint. The length is in bytes.
func appendHeader(buffer []byte, length int) []byte {
	return binary.AppendUvarint(buffer, uint64(length))
}

// readFrame reads one frame of at most maxBytes. It returns an empty frame for a keep-alive, and a
// FrameTooLargeError for a longer frame.
func readFrame(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if length > uint64(maxBytes) {
		return nil, &FrameTooLargeError{Bytes: length, MaxBytes: uint64(maxBytes)}
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
