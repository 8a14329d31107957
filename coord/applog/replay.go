package applog

import (
	"io"

	"github.com/pkg/errors"
)

// readAheadBytes is the minimum number of bytes that the replay reads at once, except at the end of the file.
const readAheadBytes = 256 << 10

// replayer reads the records of a file in order and skips corrupt regions.
type replayer struct {
	file        io.ReaderAt
	size        int64  // of the file, in bytes
	window      []byte // content of the file from windowStart on
	windowStart int64  // offset in the file
}

// replay calls onRecord for each valid record, and onCorrupt for each region before a valid record that holds
// none. It returns the offset after the last valid record.
func (r *replayer) replay(onRecord func(Position, []byte) error, onCorrupt func(Position)) (int64, error) {
	var end int64
	for {
		offset, length, err := r.nextRecord(end)
		if err != nil || offset < 0 {
			return end, err
		}
		if offset > end {
			onCorrupt(Position{Offset: end, Length: int(offset - end), Generation: firstGeneration})
		}
		record, err := r.readRange(offset, headerBytes+length)
		if err != nil {
			return end, err
		}
		position := Position{Offset: offset + headerBytes, Length: length, Generation: firstGeneration}
		if err := onRecord(position, record[headerBytes:]); err != nil {
			return end, errors.Wrapf(err, "replay the record at offset %d", offset)
		}
		end = position.recordEnd()
	}
}

// nextRecord returns the offset and the payload length of the first valid record at or after an offset. The
// returned offset is negative if there is none.
func (r *replayer) nextRecord(offset int64) (int64, int, error) {
	for ; offset+headerBytes <= r.size; offset++ {
		length, valid, err := r.recordAt(offset)
		if err != nil {
			return 0, 0, err
		}
		if valid {
			return offset, length, nil
		}
	}
	return -1, 0, nil
}

// recordAt reports whether a valid record starts at an offset, and the length of its payload in bytes.
func (r *replayer) recordAt(offset int64) (int, bool, error) {
	header, err := r.readRange(offset, headerBytes)
	if err != nil {
		return 0, false, err
	}
	length, ok := payloadLength(header)
	if !ok || offset+recordBytes(length) > r.size {
		return 0, false, nil
	}
	record, err := r.readRange(offset, headerBytes+length)
	if err != nil {
		return 0, false, err
	}
	return length, validRecord(record, offset), nil
}

// readRange returns count bytes of the file from an offset. The slice is valid until the next call.
func (r *replayer) readRange(offset int64, count int) ([]byte, error) {
	if offset < r.windowStart || offset+int64(count) > r.windowStart+int64(len(r.window)) {
		if err := r.fillWindow(offset, count); err != nil {
			return nil, err
		}
	}
	from := offset - r.windowStart
	return r.window[from : from+int64(count)], nil
}

// fillWindow replaces the window with at least count bytes of the file from an offset.
func (r *replayer) fillWindow(offset int64, count int) error {
	length := int(min(int64(max(count, readAheadBytes)), r.size-offset))
	if cap(r.window) < length {
		r.window = make([]byte, length)
	}
	r.window = r.window[:length]
	r.windowStart = offset
	if _, err := r.file.ReadAt(r.window, offset); err != nil {
		r.window = r.window[:0]
		return errors.Wrapf(err, "read the log at offset %d", offset)
	}
	return nil
}
