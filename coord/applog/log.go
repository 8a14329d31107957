package applog

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// flushThresholdBytes is the buffer length from which the buffer is written even if no sync was requested.
	flushThresholdBytes = 64 << 10
	// maxBufferedBytes is the buffer length at which Append blocks until the buffer was written.
	maxBufferedBytes = 1 << 20
	// firstGeneration is the generation of positions before the first Rewrite after Open.
	firstGeneration = 1
)

// Options configures a log. The zero value is valid.
type Options struct {
	// MaxBytes is the largest size of the file; 0 means no limit. While a Rewrite runs, the new file takes up
	// to MaxBytes of disk space in addition to the old one.
	MaxBytes int64
	// OnCorrupt, if set, is called during Open for each corrupt region that is followed by a valid record. It
	// gets the offset of the region's first byte and its length in bytes. Such a region is either damage to
	// synced records, or a write that was lost in a power failure while a later one reached the disk.
	OnCorrupt func(Position)
	// AroundSync, if set, is called instead of each commit (write and sync) and must call its argument, which
	// performs the commit. It may delay the commit or return a different error, for fault injection.
	AroundSync func(sync func() error) error
}

// Log is an append-only file of records. It is safe for concurrent use.
type Log struct {
	options         Options
	directory       string
	name            string
	commitRequested chan struct{} // wakes the goroutine of run; holds at most one request
	stopped         chan struct{} // closed when run has returned

	// ioMutex serializes writes, syncs and rewrites. It must be locked before mutex.
	ioMutex sync.Mutex
	// fileMutex is read-locked while the file is read, so that it is not closed or replaced meanwhile. It
	// must be locked after mutex.
	fileMutex sync.RWMutex
	file      dataFile

	mutex           sync.Mutex
	changed         *sync.Cond // signalled when the buffer was written, a rewrite ended, a write failed, or on Close
	generation      uint32
	written         int64         // length of the file in bytes
	synced          int64         // length in bytes of the synced part of the file
	flushing        []byte        // records after the end of the file that are being written or whose write failed
	active          []byte        // records after flushing; new records are appended here
	waiters         []func(error) // callbacks of the requests for the next sync
	oldestWaiterAt  time.Time     // when the first of waiters was added
	syncRequestedAt time.Time     // when the oldest request of the running commit was made; zero if none is served
	rewriting       bool
	full            bool  // the last write found no space on the disk
	failure         error // a writeFailedError, set permanently after a failed write or sync
	closed          bool
}

// Open opens the log with the given file name in directory and creates both if they do not exist. It calls
// replay for each valid record in append order; the payload is valid only during the call. Open truncates the
// file after the last valid record and syncs the replayed records before it returns. An error from replay
// aborts Open and is returned.
func Open(directory, name string, options Options, replay func(Position, []byte) error) (*Log, error) {
	file, size, err := openFile(directory, name)
	if err != nil {
		return nil, err
	}
	end, err := recoverFile(file, size, options, replay)
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return startLog(file, end, directory, name, options), nil
}

// recoverFile replays a file, truncates it after the last valid record, and syncs it. It returns the remaining
// length in bytes.
func recoverFile(file dataFile, size int64, options Options, replay func(Position, []byte) error) (int64, error) {
	onCorrupt := options.OnCorrupt
	if onCorrupt == nil {
		onCorrupt = func(Position) {}
	}
	reader := &replayer{file: file, size: size}
	end, err := reader.replay(replay, onCorrupt)
	if err != nil {
		return 0, err
	}
	if end < size {
		if err := file.Truncate(end); err != nil {
			return 0, errors.Wrap(err, "truncate the torn end of the log")
		}
	}
	if size > 0 {
		if err := file.SyncData(); err != nil {
			return 0, errors.Wrap(err, "sync the replayed log")
		}
	}
	return end, nil
}

// startLog returns a log on a file that consists of size bytes of valid, synced records, and starts its
// background goroutine.
func startLog(file dataFile, size int64, directory, name string, options Options) *Log {
	log := &Log{
		options:         options,
		directory:       directory,
		name:            name,
		commitRequested: make(chan struct{}, 1),
		stopped:         make(chan struct{}),
		file:            file,
		generation:      firstGeneration,
		written:         size,
		synced:          size,
	}
	log.changed = sync.NewCond(&log.mutex)
	go log.run()
	return log
}

// Append adds a record with a copy of payload to the buffer and returns its position. The record can be read
// at once, but is durable only after the next sync. Append blocks during a Rewrite and while the buffer has no
// room for the record (1 MiB). Errors: ErrFull, ErrTooLarge, ErrWriteFailed, ErrClosed; in each case nothing
// was appended.
func (l *Log) Append(payload []byte) (Position, error) {
	if len(payload) > MaxPayloadBytes {
		return Position{}, ErrTooLarge
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.waitForRoom(recordBytes(len(payload))); err != nil {
		return Position{}, err
	}
	offset := l.sizeLocked()
	if l.exceedsBound(offset + recordBytes(len(payload))) {
		return Position{}, ErrFull
	}
	l.active = appendRecord(l.active, offset, payload)
	if len(l.active) >= flushThresholdBytes {
		l.requestCommit()
	}
	return Position{Offset: offset + headerBytes, Length: len(payload), Generation: l.generation}, nil
}

// waitForRoom blocks until a record of count bytes may be added to the buffer. It returns an error if the log
// does not accept records. The caller holds mutex.
func (l *Log) waitForRoom(count int64) error {
	for {
		if err := l.writeError(); err != nil {
			return err
		}
		if l.full {
			l.requestCommit() // retries the write
			return ErrFull
		}
		if !l.rewriting && l.hasRoom(count) {
			return nil
		}
		l.requestCommit()
		l.changed.Wait()
	}
}

// hasRoom reports whether the buffer can take a record of count bytes. An empty buffer takes any record.
func (l *Log) hasRoom(count int64) bool {
	return len(l.active) == 0 || int64(len(l.active))+count <= maxBufferedBytes
}

// writeError returns the error for writes to a closed or failed log, or nil. The caller holds mutex.
func (l *Log) writeError() error {
	if l.closed {
		return ErrClosed
	}
	return l.failure
}

func (l *Log) exceedsBound(size int64) bool {
	return l.options.MaxBytes > 0 && size > l.options.MaxBytes
}

// Size returns the length of the log in bytes, including buffered records.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sizeLocked()
}

// BufferedBytes returns the number of bytes that were appended but not yet written to the file.
func (l *Log) BufferedBytes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.flushing) + len(l.active)
}

// Full reports whether the last write failed for lack of disk space.
func (l *Log) Full() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.full
}

// sizeLocked returns the length of the log in bytes, including buffered records. The caller holds mutex.
func (l *Log) sizeLocked() int64 {
	return l.written + int64(len(l.flushing)) + int64(len(l.active))
}

// Close writes and syncs all appended records, completes the pending sync requests, and closes the file. It
// returns the error of that sync or of closing the file. The second and later calls return ErrClosed.
func (l *Log) Close() error {
	result := make(chan error, 1)
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return ErrClosed
	}
	l.closed = true
	l.waiters = append(l.waiters, func(err error) { result <- err })
	l.changed.Broadcast()
	l.mutex.Unlock()
	l.requestCommit()
	<-l.stopped
	err := <-result
	l.fileMutex.Lock()
	defer l.fileMutex.Unlock()
	if closeErr := l.file.Close(); err == nil {
		err = closeErr
	}
	return err
}
