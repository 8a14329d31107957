package applog

import "github.com/pkg/errors"

// Read returns the payload of the record at a position, also where it is not yet written. Errors: ErrCorrupt
// where the checksum doesn't match, ErrStalePosition, ErrClosed, or that of the disk.
func (l *Log) Read(position Position) ([]byte, error) {
	if position.Length < 0 || position.Length > MaxPayloadBytes {
		return nil, errors.Wrapf(ErrCorrupt, "no record has %d bytes", position.Length)
	}
	record := make([]byte, recordBytes(position.Length))
	if err := l.readRecord(position, record); err != nil {
		return nil, err
	}
	if !validRecord(record, position.start()) {
		return nil, errors.Wrapf(ErrCorrupt, "offset %d", position.start())
	}
	return record[headerBytes:], nil
}

// readRecord fills record from the buffer or the file.
func (l *Log) readRecord(position Position, record []byte) error {
	l.mutex.Lock()
	if err := l.checkPosition(position); err != nil {
		l.mutex.Unlock()
		return err
	}
	if position.start() >= l.written {
		l.copyBuffered(position.start()-l.written, record)
		l.mutex.Unlock()
		return nil
	}
	l.fileMutex.RLock() // before the release of mutex: a rewrite can't come between
	l.mutex.Unlock()
	defer l.fileMutex.RUnlock()
	_, err := l.file.ReadAt(record, position.start())
	return errors.Wrapf(err, "read the log at offset %d", position.start())
}

func (l *Log) checkPosition(position Position) error {
	if l.closed {
		return ErrClosed
	}
	if position.Generation != l.generation {
		return ErrStalePosition
	}
	if position.start() < 0 || position.end() > l.sizeLocked() {
		return errors.Wrapf(ErrCorrupt, "offset %d is outside the log", position.start())
	}
	return nil
}

// copyBuffered fills record from the buffers; offset counts from the end of the file.
func (l *Log) copyBuffered(offset int64, record []byte) {
	inFlushing := int64(len(l.flushing))
	if offset < inFlushing {
		copy(record, l.flushing[offset:])
		return
	}
	copy(record, l.active[offset-inFlushing:])
}
