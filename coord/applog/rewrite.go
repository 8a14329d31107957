package applog

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// rewriteBufferBytes is the buffer length from which a rewrite writes to the new file.
const rewriteBufferBytes = 256 << 10

// rewriter writes the new file of a rewrite.
type rewriter struct {
	file       dataFile
	buffer     []byte // records that are not yet written
	written    int64  // length of the file in bytes
	maxBytes   int64  // maximum length of the file; 0 for no limit
	generation uint32 // of the returned positions
}

// Rewrite replaces the content of the log, buffered records included, with the records that emit passes to
// write, in that order. When Rewrite returns nil, the records are synced, the positions that write returned are
// valid, and all earlier positions are stale: the caller must replace its index before the next Read.
//
// If emit, the new file or its rename fails, the log and its positions are unchanged. After ErrWriteFailed the
// log rejects writes. If only closing the replaced file fails, Rewrite returns that error although the new
// content is in place.
//
// Append blocks during a Rewrite. emit may call Read, but must not call Append, Wait or Close. Pending sync
// requests complete once the rewrite has ended. Errors: ErrFull, ErrTooLarge, ErrWriteFailed, ErrClosed, the
// error of emit, or an I/O error.
func (l *Log) Rewrite(emit func(write func(payload []byte) (Position, error)) error) error {
	l.ioMutex.Lock()
	defer l.ioMutex.Unlock()
	if err := l.beginRewrite(); err != nil {
		return err
	}
	defer l.endRewrite()
	path := filepath.Join(l.directory, l.name)
	file, err := os.OpenFile(path+rewriteSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(mapNoSpace(err), "create the new log file")
	}
	next := &rewriter{file: diskFile{file}, maxBytes: l.options.MaxBytes, generation: l.generation + 1}
	if err := next.writeRecords(emit); err != nil {
		return discardRewrite(file, err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return discardRewrite(file, errors.Wrap(err, "rename the new log file"))
	}
	if err := syncDirectory(l.directory); err != nil {
		_ = file.Close()
		return l.fail("sync the log directory", err)
	}
	return l.switchFile(next)
}

// beginRewrite blocks appends. It returns an error if the log does not accept writes.
func (l *Log) beginRewrite() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.writeError(); err != nil {
		return err
	}
	l.rewriting = true
	return nil
}

func (l *Log) endRewrite() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rewriting = false
	l.changed.Broadcast()
}

// switchFile continues the log in the new file. It clears the buffers, because the rewrite has replaced their
// records too.
func (l *Log) switchFile(next *rewriter) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fileMutex.Lock()
	defer l.fileMutex.Unlock()
	old := l.file
	l.file = next.file
	l.generation = next.generation
	l.written = next.written
	l.synced = next.written
	l.flushing = resetBuffer(l.flushing)
	l.active = resetBuffer(l.active)
	l.full = false
	return errors.Wrap(old.Close(), "close the replaced log file")
}

// writeRecords writes and syncs the records that emit passes to it.
func (r *rewriter) writeRecords(emit func(write func(payload []byte) (Position, error)) error) error {
	if err := emit(r.write); err != nil {
		return err
	}
	if err := r.flush(); err != nil {
		return err
	}
	return errors.Wrap(mapNoSpace(r.file.SyncData()), "sync the new log file")
}

// write adds one record and returns its position in the new file.
func (r *rewriter) write(payload []byte) (Position, error) {
	if len(payload) > MaxPayloadBytes {
		return Position{}, ErrTooLarge
	}
	offset := r.written + int64(len(r.buffer))
	if r.maxBytes > 0 && offset+recordBytes(len(payload)) > r.maxBytes {
		return Position{}, ErrFull
	}
	r.buffer = appendRecord(r.buffer, offset, payload)
	position := Position{Offset: offset + headerBytes, Length: len(payload), Generation: r.generation}
	if len(r.buffer) < rewriteBufferBytes {
		return position, nil
	}
	return position, r.flush()
}

// flush writes the buffer to the new file.
func (r *rewriter) flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	if _, err := r.file.WriteAt(r.buffer, r.written); err != nil {
		return errors.Wrap(mapNoSpace(err), "write the new log file")
	}
	r.written += int64(len(r.buffer))
	r.buffer = r.buffer[:0]
	return nil
}

// discardRewrite closes and removes an unfinished file and returns cause.
func discardRewrite(file *os.File, cause error) error {
	_ = file.Close()
	_ = os.Remove(file.Name())
	return cause
}

// mapNoSpace returns ErrFull if err is caused by lack of disk space, and err itself otherwise.
func mapNoSpace(err error) error {
	if isNoSpace(err) {
		return ErrFull
	}
	return err
}
