package applog

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// rewriteBufferBytes is what a rewrite writes at one time.
const rewriteBufferBytes = 256 << 10

// rewriter writes the file that replaces a log's.
type rewriter struct {
	file       dataFile
	buffer     []byte
	written    int64
	maxBytes   int64
	generation uint32
}

// Rewrite replaces the content of the log by the records that emit gives to write, in their order. When it
// returns nil, they are synced, the positions from write are valid, and all older ones are not: the caller
// exchanges its index before it reads again. After an error the log and its positions are as before
// (ErrWriteFailed excepted). Appends wait while it runs; emit may call Read, but not Append, Wait or Close.
// Requests for a sync that wait meanwhile are answered with the new file in place. Errors: ErrFull,
// ErrTooLarge, ErrWriteFailed, ErrClosed, or that of emit.
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
		return errors.Wrap(asFull(err), "create the new file of the log")
	}
	next := &rewriter{file: diskFile{file}, maxBytes: l.options.MaxBytes, generation: l.generation + 1}
	if err := next.fill(emit); err != nil {
		return discard(file, err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return discard(file, errors.Wrap(err, "rename the new file of the log"))
	}
	if err := syncDirectory(l.directory); err != nil {
		_ = file.Close()
		return l.fail("sync the folder", err)
	}
	return l.adopt(next)
}

func (l *Log) beginRewrite() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.refusal(); err != nil {
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

// adopt continues the log in the new file. What the buffers held is part of what was replaced.
func (l *Log) adopt(next *rewriter) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fileMutex.Lock()
	defer l.fileMutex.Unlock()
	old := l.file
	l.file = next.file
	l.generation = next.generation
	l.written = next.written
	l.synced = next.written
	l.flushing = emptied(l.flushing)
	l.active = emptied(l.active)
	l.full = false
	return errors.Wrap(old.Close(), "close the replaced file of the log")
}

// fill writes and syncs all that emit gives.
func (r *rewriter) fill(emit func(write func(payload []byte) (Position, error)) error) error {
	if err := emit(r.write); err != nil {
		return err
	}
	if err := r.flush(); err != nil {
		return err
	}
	return errors.Wrap(asFull(r.file.SyncData()), "sync the new file of the log")
}

// write adds one record.
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

func (r *rewriter) flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	if _, err := r.file.WriteAt(r.buffer, r.written); err != nil {
		return errors.Wrap(asFull(err), "write the new file of the log")
	}
	r.written += int64(len(r.buffer))
	r.buffer = r.buffer[:0]
	return nil
}

// discard removes an unfinished file and returns the error that ended the rewrite.
func discard(file *os.File, cause error) error {
	_ = file.Close()
	_ = os.Remove(file.Name())
	return cause
}

// asFull returns ErrFull for an error that says there is no space, and others as they are.
func asFull(err error) error {
	if isNoSpace(err) {
		return ErrFull
	}
	return err
}
