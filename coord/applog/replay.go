package applog

import (
	"io"

	"github.com/pkg/errors"
)

// readAheadBytes is what the replay reads at one time.
const readAheadBytes = 256 << 10

// replayer reads the records of a file in order.
type replayer struct {
	file   io.ReaderAt
	size   int64
	window []byte // bytes of the file from windowStart on
	start  int64
}

// replay calls visit for each whole record and corrupt for each region between records that isn't one. It
// returns the offset after the last whole record.
func (r *replayer) replay(visit func(Position, []byte) error, corrupt func(Position)) (int64, error) {
	var end int64
	for {
		offset, length, err := r.next(end)
		if err != nil || offset < 0 {
			return end, err
		}
		if offset > end {
			corrupt(Position{Offset: end, Length: int(offset - end), Generation: firstGeneration})
		}
		record, err := r.bytes(offset, headerBytes+length)
		if err != nil {
			return end, err
		}
		position := Position{Offset: offset + headerBytes, Length: length, Generation: firstGeneration}
		if err := visit(position, record[headerBytes:]); err != nil {
			return end, errors.Wrapf(err, "replay the record at offset %d", offset)
		}
		end = position.end()
	}
}

// next finds the first whole record at or after the offset. It returns a negative offset where there is none.
func (r *replayer) next(offset int64) (int64, int, error) {
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

// recordAt reports whether a whole record begins at the offset, and the length of its payload.
func (r *replayer) recordAt(offset int64) (int, bool, error) {
	header, err := r.bytes(offset, headerBytes)
	if err != nil {
		return 0, false, err
	}
	length, ok := payloadLength(header)
	if !ok || offset+recordBytes(length) > r.size {
		return 0, false, nil
	}
	record, err := r.bytes(offset, headerBytes+length)
	if err != nil {
		return 0, false, err
	}
	return length, validRecord(record, offset), nil
}

// bytes returns a part of the file, which is valid until the next call.
func (r *replayer) bytes(offset int64, count int) ([]byte, error) {
	if offset < r.start || offset+int64(count) > r.start+int64(len(r.window)) {
		if err := r.load(offset, count); err != nil {
			return nil, err
		}
	}
	from := offset - r.start
	return r.window[from : from+int64(count)], nil
}

// load reads the window anew from the offset on.
func (r *replayer) load(offset int64, count int) error {
	length := int(min(int64(max(count, readAheadBytes)), r.size-offset))
	if cap(r.window) < length {
		r.window = make([]byte, length)
	}
	r.window = r.window[:length]
	r.start = offset
	if _, err := r.file.ReadAt(r.window, offset); err != nil {
		r.window = r.window[:0]
		return errors.Wrapf(err, "read the log at offset %d", offset)
	}
	return nil
}
