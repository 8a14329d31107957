package watch

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// FrameTooLargeError reports a frame above the reader's bound.
type FrameTooLargeError struct {
	Bytes    uint64 // announced length
	MaxBytes uint64 // largest length that is accepted
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the bound of %d: raise the bound of the client, or connect anew",
		e.Bytes, e.MaxBytes)
}

// appendHeader appends the length prefix of a frame of the given number of bytes.
func appendHeader(buffer []byte, length int) []byte {
	return binary.AppendUvarint(buffer, uint64(length))
}

// readFrame reads one frame. A keep-alive is returned as an empty frame.
func readFrame(reader *bufio.Reader, bound int) ([]byte, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if length > uint64(bound) {
		return nil, &FrameTooLargeError{Bytes: length, MaxBytes: uint64(bound)}
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
