package applog

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// flushBytes is the length of the buffer at which it is written without waiting for a sync.
	flushBytes = 64 << 10
	// maxBufferedBytes is the length of the buffer at which appends wait for the disk.
	maxBufferedBytes = 1 << 20
	// firstGeneration is that of the positions of a log just opened.
	firstGeneration = 1
)

// Options set the bounds of a log and receive its reports.
type Options struct {
	// MaxBytes is the size that the file may reach; 0 sets no bound. A Rewrite needs space for a second file.
	MaxBytes int64
	// OnCorrupt, if set, is told during Open of each region that is followed by whole records but isn't one:
	// the offset of its first byte and its length in bytes. It is damage to synced records, or a write
	// that a loss of power dropped while it kept a later one.
	OnCorrupt func(Position)
	// AroundSync, if set, is called in place of each write of the buffer that ends with a sync, and must call it. It can delay it,
	// or return another error than it did: fault injection.
	AroundSync func(sync func() error) error
}

// Log is an append-only file of records. Its methods may be called by several goroutines.
type Log struct {
	options   Options
	directory string
	name      string
	wake      chan struct{} // asks the goroutine of run for work
	stopped   chan struct{} // closed when that goroutine has ended

	// ioMutex is held for each write, sync and rewrite. It is taken before mutex.
	ioMutex sync.Mutex
	// fileMutex keeps the file open while it is read. It is taken after mutex.
	fileMutex sync.RWMutex
	file      dataFile

	mutex      sync.Mutex
	changed    *sync.Cond // the buffer was written, a rewrite ended, or the log refuses appends
	generation uint32
	written    int64  // bytes of the file
	synced     int64  // bytes of the file that were synced
	flushing   []byte // follows the file; being written, or left by a failed write
	active     []byte // follows flushing; takes the appends
	waiters    []func(error)
	queuedAt   time.Time // when the first of waiters came
	roundAt    time.Time // when the first of those came whose sync is under way; zero for none
	rewriting  bool
	full       bool  // the last write found no space
	failure    error // set for good after a failed sync
	closed     bool
}

// Open opens the log name in the folder directory, and creates both where absent. It calls replay for each
// whole record in the order of the appends; the payload is valid during the call only. A torn record at the
// end is cut off. What was replayed is synced when Open returns. An error of replay ends Open.
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
	return start(file, end, directory, name, options), nil
}

// recoverFile replays a file, cuts off what follows the last whole record, and syncs the rest.
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
			return 0, errors.Wrap(err, "cut off the torn end of the log")
		}
	}
	if size > 0 {
		if err := file.SyncData(); err != nil {
			return 0, errors.Wrap(err, "sync the replayed log")
		}
	}
	return end, nil
}

// start makes a log of a file whose first size bytes are whole records, and runs its goroutine.
func start(file dataFile, size int64, directory, name string, options Options) *Log {
	log := &Log{
		options:    options,
		directory:  directory,
		name:       name,
		wake:       make(chan struct{}, 1),
		stopped:    make(chan struct{}),
		file:       file,
		generation: firstGeneration,
		written:    size,
		synced:     size,
	}
	log.changed = sync.NewCond(&log.mutex)
	go log.run()
	return log
}

// Append adds a record, which is not yet written and can be read at once. It copies payload. It waits while a
// Rewrite runs or more than 1 MiB is waiting for the disk. Errors: ErrFull, ErrTooLarge, ErrWriteFailed,
// ErrClosed; after each of them nothing was appended.
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
	if len(l.active) >= flushBytes {
		l.wakeUp()
	}
	return Position{Offset: offset + headerBytes, Length: len(payload), Generation: l.generation}, nil
}

// waitForRoom returns when a record of that many bytes may be added to the buffer, or why none may.
func (l *Log) waitForRoom(count int64) error {
	for {
		if err := l.refusal(); err != nil {
			return err
		}
		if l.full {
			l.wakeUp() // tries the write again
			return ErrFull
		}
		if !l.rewriting && l.hasRoom(count) {
			return nil
		}
		l.wakeUp()
		l.changed.Wait()
	}
}

func (l *Log) hasRoom(count int64) bool {
	return len(l.active) == 0 || int64(len(l.active))+count <= maxBufferedBytes
}

// refusal returns why the log takes no more writes, or nil.
func (l *Log) refusal() error {
	if l.closed {
		return ErrClosed
	}
	return l.failure
}

func (l *Log) exceedsBound(size int64) bool {
	return l.options.MaxBytes > 0 && size > l.options.MaxBytes
}

// Size returns the length of the log in bytes, with the records that are not yet written.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sizeLocked()
}

// Buffered returns the number of bytes that are not yet written.
func (l *Log) BufferedBytes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.flushing) + len(l.active)
}

// Full reports whether the last write found no space on the disk.
func (l *Log) Full() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.full
}

func (l *Log) sizeLocked() int64 {
	return l.written + int64(len(l.flushing)) + int64(len(l.active))
}

// Close writes and syncs what was appended, answers all that wait for it, and closes the file. It returns the
// error of that sync. The second and later calls return ErrClosed.
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
	l.wakeUp()
	<-l.stopped
	err := <-result
	l.fileMutex.Lock()
	defer l.fileMutex.Unlock()
	if closeErr := l.file.Close(); err == nil {
		err = closeErr
	}
	return err
}
