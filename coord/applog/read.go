package applog

import "github.com/pkg/errors"

// Read returns the payload of the record at a position, whether it is still buffered or already in the file.
// Errors: ErrCorrupt if there is no valid record at the position, ErrStalePosition, ErrClosed, or the I/O error
// of the file.
func (l *Log) Read(position Position) ([]byte, error) {
	if position.Length < 0 || position.Length > MaxPayloadBytes {
		return nil, errors.Wrapf(ErrCorrupt, "invalid payload length %d", position.Length)
	}
	record := make([]byte, recordBytes(position.Length))
	if err := l.readRecord(position, record); err != nil {
		return nil, err
	}
	if !validRecord(record, position.recordStart()) {
		return nil, errors.Wrapf(ErrCorrupt, "offset %d", position.recordStart())
	}
	return record[headerBytes:], nil
}

// readRecord copies the record at a position, with its header, from the buffer or the file into record.
func (l *Log) readRecord(position Position, record []byte) error {
	l.mutex.Lock()
	if err := l.checkPosition(position); err != nil {
		l.mutex.Unlock()
		return err
	}
	if position.recordStart() >= l.written {
		l.copyBuffered(position.recordStart()-l.written, record)
		l.mutex.Unlock()
		return nil
	}
	l.fileMutex.RLock() // taken before mutex is released, so that no rewrite can replace the file in between
	l.mutex.Unlock()
	defer l.fileMutex.RUnlock()
	_, err := l.file.ReadAt(record, position.recordStart())
	return errors.Wrapf(err, "read the log at offset %d", position.recordStart())
}

// checkPosition returns an error if the log is closed, or if a position is stale or outside the log. The caller
// holds mutex.
func (l *Log) checkPosition(position Position) error {
	if l.closed {
		return ErrClosed
	}
	if position.Generation != l.generation {
		return ErrStalePosition
	}
	if position.recordStart() < 0 || position.recordEnd() > l.sizeLocked() {
		return errors.Wrapf(ErrCorrupt, "offset %d is outside the log", position.recordStart())
	}
	return nil
}

// copyBuffered copies a record from the buffers. The offset is relative to the end of the file. The caller
// holds mutex.
func (l *Log) copyBuffered(offset int64, record []byte) {
	flushingBytes := int64(len(l.flushing))
	if offset < flushingBytes {
		copy(record, l.flushing[offset:])
		return
	}
	copy(record, l.active[offset-flushingBytes:])
}
