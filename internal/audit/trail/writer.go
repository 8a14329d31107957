package trail

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/audit"
)

const (
	fileExt          = ".audit"
	maxQueuedRecords = 256 // records waiting to be written
)

// Options configure a Writer.
type Options struct {
	Folder  string
	Member  string
	Process uint64
	Files   int   // number of files kept; the oldest are deleted
	Bytes   int64 // size at which a new file is started

	Wall func() time.Time // wall clock for Record.Wall; nil means time.Now
}

// Writer writes records to a folder on its own goroutine. Put never blocks.
type Writer struct {
	o         Options
	queue     chan Record
	done      chan struct{}
	closeOnce sync.Once
	warn      func(error)

	droppedCount uint64 // records dropped since the last one that was queued; used by the goroutine that calls Put

	// used by the writing goroutine
	lock       *os.File
	f          file
	size       int64
	no         uint64
	last       []byte
	fileNo     int
	held       *audit.Versions // versions in the last such record
	lostCount  uint64          // records that could not be written since the last one written
	lostReason string
}

// file is the file written to; tests substitute a slow or full one.
type file interface {
	io.Writer
	Sync() error
	Truncate(int64) error
	Close() error
}

// Predecessor describes the previous process according to the newest file of a folder.
type Predecessor struct {
	Process  uint64
	Versions audit.Versions // last applied
	Any      bool           // Versions is set
	Ended    bool           // it ended in order
	Cut      string         // what was cut off or couldn't be read; empty for nothing
}

// Open opens a folder for writing, creating it if needed, and describes the previous process. A torn last record is cut off and reported. If
// the hash chain is broken, a new file is started that says so. Errors wrap ErrBusy if another process writes the folder, ErrMember if it
// belongs to another member, and ErrVersion if its format is newer; then nothing is written.
func Open(o Options, warn func(error)) (*Writer, Predecessor, error) {
	w := &Writer{o: o, queue: make(chan Record, maxQueuedRecords), done: make(chan struct{}), warn: warn}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, Predecessor{}, fmt.Errorf("audit: %w", err)
	}
	var err error
	if w.lock, err = lock(o.Folder); err != nil {
		return nil, Predecessor{}, err
	}
	last, err := w.resumeFolder()
	if err != nil {
		w.lock.Close()
		return nil, last, err
	}
	go w.run()
	return w, last, nil
}

func (w *Writer) wall() int64 {
	if w.o.Wall != nil {
		return w.o.Wall().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// lock locks a folder for the lifetime of this process. Two writers would each break the other's hash chain.
func lock(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s", ErrBusy, folder)
	}
	return f, nil
}

// resumeFolder reads the latest file and starts the next one.
func (w *Writer) resumeFolder() (Predecessor, error) {
	o := w.o
	names, err := listFiles(o.Folder)
	if err != nil {
		return Predecessor{}, err
	}
	var last Predecessor
	if len(names) > 0 {
		name := names[len(names)-1]
		if _, err := fmt.Sscanf(filepath.Base(name), "%d", &w.fileNo); err != nil {
			return Predecessor{}, fmt.Errorf("audit: %s: file name has no number", name)
		}
		if last, err = w.readLatestFile(name); err != nil {
			return Predecessor{}, err
		}
	}
	if last.Any {
		w.held = &last.Versions
	}
	return last, w.startFile(last.Cut)
}

// listFiles returns a folder's files in order.
func listFiles(folder string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*"+fileExt))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// readLatestFile reads the newest file to its end, and truncates a torn last record.
func (w *Writer) readLatestFile(name string) (last Predecessor, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return last, fmt.Errorf("audit: %w", err)
	}
	base := filepath.Base(name)
	cut := func(at int, why string) {
		last.Cut = fmt.Sprintf("%s: %d bytes from byte %d on: %s", base, len(text)-at, at, why)
	}
	if len(text) < headSize || string(text[:len(fileMagic)]) != fileMagic {
		cut(0, "no head")
		return last, nil
	}
	if text[len(fileMagic)] > FormatVersion {
		return last, fmt.Errorf("%w: %s is of format %d, this program writes %d", ErrVersion, name, text[len(fileMagic)], FormatVersion)
	}
	at := headSize
	for at < len(text) {
		r, sum, size, err := parseRecord(text[at:], w.last, at == headSize)
		if errors.Is(err, ErrTorn) {
			cut(at, "a torn last record")
			return last, os.Truncate(name, int64(at))
		} else if err != nil {
			cut(at, err.Error()) // left unchanged for Verify to report
			return last, nil
		}
		if r.Begin != nil {
			if r.Begin.Member != w.o.Member {
				return last, fmt.Errorf("%w: %s is of %q, this is %q", ErrMember, name, r.Begin.Member, w.o.Member)
			}
			last.Process, last.Ended = r.Begin.Process, false
			if r.Begin.Held != nil {
				last.Versions, last.Any = *r.Begin.Held, true
			}
		}
		if r.Span != nil {
			last.Versions, last.Any = r.Span.Versions, true
		}
		if r.Held != nil {
			last.Versions, last.Any = *r.Held, true
		}
		last.Ended = r.End != nil
		w.no, w.last = r.No+1, sum
		at += size
	}
	return last, nil
}

// parseRecord reads the record at the beginning of text; last is the previous checksum. The first record of a file contains the previous
// checksum itself. It returns the record's checksum and its size in bytes, header included.
func parseRecord(text, last []byte, first bool) (r Record, sum []byte, size int, err error) {
	if len(text) < lengthSize {
		return r, nil, 0, ErrTorn
	}
	n := int(binary.BigEndian.Uint32(text))
	if n > maxRecordBytes {
		return r, nil, 0, fmt.Errorf("%w: a record of %d bytes", ErrBroken, n)
	}
	size = lengthSize + n + sumSize
	if len(text) < size {
		return r, nil, 0, ErrTorn
	}
	body, sum := text[lengthSize:lengthSize+n], text[lengthSize+n:size]
	if err := decoder.Unmarshal(body, &r); err != nil {
		return r, nil, 0, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if first && r.Begin != nil {
		last = r.Begin.Last
	}
	if string(chainSum(last, body)) != string(sum) {
		return r, nil, 0, fmt.Errorf("%w: the sum does not match", ErrBroken)
	}
	return r, sum, size, nil
}

// Put queues a record for writing. It never blocks: if the queue is full, the record is dropped and counted, and a Gap is written before the
// next one queued. clock is in seconds of the dispatcher's clock.
func (w *Writer) Put(clock float64, r Record) {
	r.Wall, r.Clock = w.wall(), clock
	if w.droppedCount > 0 {
		gap := Record{Wall: r.Wall, Clock: clock, Gap: &Gap{Missing: w.droppedCount, Why: "the disk did not keep up"}}
		if len(w.queue) > maxQueuedRecords-2 {
			w.droppedCount++
			return
		}
		w.queue <- gap // never blocks: only this goroutine sends, so there is room for both records
		w.droppedCount = 0
	}
	if altered.Is("skips a record") && r.Span != nil && r.Span.No%3 == 2 {
		return
	}
	select {
	case w.queue <- r:
	default:
		w.droppedCount++
	}
}

// Close writes the queued records and stops the writer. It returns after the timeout at the latest.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for r := range w.queue {
		w.write(r)
		if len(w.queue) == 0 && w.f != nil {
			if err := w.f.Sync(); err != nil {
				w.warn(fmt.Errorf("audit: %w", err))
			}
		}
	}
	if w.f != nil {
		w.f.Close()
	}
	w.lock.Close()
}

// write writes a record, preceded by a Gap if records were lost before it.
func (w *Writer) write(r Record) {
	if w.f == nil || w.size >= w.o.Bytes {
		if err := w.startFile(""); err != nil {
			w.countLost(err)
			return
		}
	}
	if w.lostCount > 0 {
		if err := w.append(Record{Wall: r.Wall, Clock: r.Clock, Gap: &Gap{Missing: w.lostCount, Why: w.lostReason}}); err != nil {
			w.countLost(err)
			return
		}
		w.lostCount = 0
	}
	if err := w.append(r); err != nil {
		w.countLost(err)
	}
}

func (w *Writer) countLost(err error) {
	if w.lostCount == 0 {
		w.warn(fmt.Errorf("audit: cannot write records, the following are missing: %w", err))
	}
	w.lostCount++
	if w.lostReason = err.Error(); len(w.lostReason) > 200 {
		w.lostReason = w.lostReason[:200]
	}
}

// append appends a record. If that fails, it truncates the file to its previous size, so that the next record can follow.
func (w *Writer) append(r Record) error {
	r.No = w.no
	body, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	if len(body) > maxRecordBytes {
		return fmt.Errorf("a record of %d bytes, %d at most", len(body), maxRecordBytes)
	}
	sum := chainSum(w.last, body)
	text := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)+sumSize), uint32(len(body)))
	text = append(append(text, body...), sum...)
	if _, err := w.f.Write(text); err != nil {
		if e := w.f.Truncate(w.size); e != nil {
			w.f.Close()
			w.f = nil // nothing written after half a record could be read
			return errors.Join(err, e)
		}
		if s, ok := w.f.(io.Seeker); ok {
			s.Seek(w.size, io.SeekStart)
		}
		return err
	}
	w.size += int64(len(text))
	w.no, w.last = w.no+1, sum
	if r.Held != nil {
		w.held = r.Held
	}
	return nil
}

// startFile starts a new file and deletes the oldest ones beyond Options.Files.
func (w *Writer) startFile(cut string) error {
	if w.f != nil {
		w.f.Sync()
		w.f.Close()
		w.f = nil
	}
	w.fileNo++
	path := filepath.Join(w.o.Folder, fmt.Sprintf("%08d%s", w.fileNo, fileExt))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	w.f, w.size = f, 0
	n, err := f.Write(append([]byte(fileMagic), FormatVersion))
	if err != nil {
		f.Close()
		w.f = nil
		os.Remove(path)
		return fmt.Errorf("audit: %w", err)
	}
	w.size = int64(n)
	if len(cut) > 400 {
		cut = cut[:400]
	}
	if err := w.append(Record{Wall: w.wall(), Begin: &Begin{Member: w.o.Member, Process: w.o.Process, Last: w.last, Cut: cut, Held: w.held}}); err != nil {
		if w.f != nil {
			w.f.Close()
			w.f = nil
		}
		os.Remove(path)
		return err
	}
	names, err := listFiles(w.o.Folder)
	for err == nil && len(names) > max(1, w.o.Files) {
		if err = os.Remove(names[0]); err != nil {
			w.warn(fmt.Errorf("audit: %w", err))
		}
		names = names[1:]
	}
	return nil
}
