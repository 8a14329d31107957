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
	ending     = ".audit"
	mostQueued = 256 // records that wait for the disk
)

// Options say where and how much is written.
type Options struct {
	Folder  string
	Member  string
	Process uint64
	Files   int   // that are kept
	Bytes   int64 // of a file, at the most

	Wall func() time.Time // the machine's clock of day, for people; nil for the system's
}

// Writer writes records to a folder, on a goroutine of its own. Nobody waits for it.
type Writer struct {
	o     Options
	queue chan Record
	done  chan struct{}
	end   sync.Once
	warn  func(error)

	missing uint64 // since the last record that found a place; of the poster's goroutine

	// of the writing goroutine
	lock *os.File
	f    file
	size int64
	no   uint64
	last []byte
	seq  int
	held *audit.Versions // by the last record that says so
	lost uint64          // records that could not be written since the last that was
	why  string
}

// file is what is written to; tests put a slow or full one in its place.
type file interface {
	io.Writer
	Sync() error
	Truncate(int64) error
	Close() error
}

// Last is what the newest records of a folder tell of the process before.
type Predecessor struct {
	Process  uint64
	Versions audit.Versions // of its last span
	Any      bool           // there was one
	Ended    bool           // it ended in order
	Cut      string         // what was cut off
}

// Open goes on with a folder's record, or begins one, and tells what the process before acted on last. A torn last record is cut off
// and named. A record of another member or of a newer format is an error, and nothing is written. Where the chain is broken a new
// file begins, which says so.
func Open(o Options, warn func(error)) (*Writer, Predecessor, error) {
	w := &Writer{o: o, queue: make(chan Record, mostQueued), done: make(chan struct{}), warn: warn}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, Predecessor{}, fmt.Errorf("audit: %w", err)
	}
	var err error
	if w.lock, err = lock(o.Folder); err != nil {
		return nil, Predecessor{}, err
	}
	last, err := w.open()
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

// lock keeps a second process out of a folder for as long as this one lives. Danger: two writers would each break the other's chain.
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

// open reads how the last file ends, and begins the next.
func (w *Writer) open() (Predecessor, error) {
	o := w.o
	names, err := filesOf(o.Folder)
	if err != nil {
		return Predecessor{}, err
	}
	var last Predecessor
	if len(names) > 0 {
		name := names[len(names)-1]
		if _, err := fmt.Sscanf(filepath.Base(name), "%d", &w.seq); err != nil {
			return Predecessor{}, fmt.Errorf("audit: %s: no number", name)
		}
		if last, err = w.resume(name); err != nil {
			return Predecessor{}, err
		}
	}
	if last.Any {
		w.held = &last.Versions
	}
	return last, w.next(last.Cut)
}

// filesOf lists a folder's files in their order.
func filesOf(folder string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*"+ending))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// resume reads the newest file to its end.
func (w *Writer) resume(name string) (last Predecessor, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return last, fmt.Errorf("audit: %w", err)
	}
	base := filepath.Base(name)
	cut := func(at int, why string) {
		last.Cut = fmt.Sprintf("%s: %d bytes from byte %d on: %s", base, len(text)-at, at, why)
	}
	if len(text) < headSize || string(text[:len(head)]) != head {
		cut(0, "no head")
		return last, nil
	}
	if text[len(head)] > FormatVersion {
		return last, fmt.Errorf("%w: %s is of format %d, this program writes %d", ErrVersion, name, text[len(head)], FormatVersion)
	}
	at := headSize
	for at < len(text) {
		r, sum, size, err := parse(text[at:], w.last, at == headSize)
		if errors.Is(err, ErrTorn) {
			cut(at, "a torn last record")
			return last, os.Truncate(name, int64(at))
		} else if err != nil {
			cut(at, err.Error()) // left as it stands, for whoever verifies
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

// parse reads the record at the beginning of a text. first says that it is a file's first, which names the sum to go on from.
func parse(text, last []byte, first bool) (r Record, sum []byte, size int, err error) {
	if len(text) < lengthSize {
		return r, nil, 0, ErrTorn
	}
	n := int(binary.BigEndian.Uint32(text))
	if n > mostRecord {
		return r, nil, 0, fmt.Errorf("%w: a record of %d bytes", ErrBroken, n)
	}
	size = lengthSize + n + sumSize
	if len(text) < size {
		return r, nil, 0, ErrTorn
	}
	body, sum := text[lengthSize:lengthSize+n], text[lengthSize+n:size]
	if err := reader.Unmarshal(body, &r); err != nil {
		return r, nil, 0, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if first && r.Begin != nil {
		last = r.Begin.Last
	}
	if string(sumOf(last, body)) != string(sum) {
		return r, nil, 0, fmt.Errorf("%w: the sum does not match", ErrBroken)
	}
	return r, sum, size, nil
}

// Put hands a record over to be written. It never waits: what finds no place is counted, and said by the next that does.
func (w *Writer) Put(clock float64, r Record) {
	r.Wall, r.Clock = w.wall(), clock
	if w.missing > 0 {
		gap := Record{Wall: r.Wall, Clock: clock, Gap: &Gap{Missing: w.missing, Why: "the disk did not keep up"}}
		if len(w.queue) > mostQueued-2 {
			w.missing++
			return
		}
		w.queue <- gap // danger: only this goroutine posts, so there is room for both
		w.missing = 0
	}
	if altered.Is("skips a record") && r.Span != nil && r.Span.No%3 == 2 {
		return
	}
	select {
	case w.queue <- r:
	default:
		w.missing++
	}
}

// Close writes what waits, for a time at the most, and ends.
func (w *Writer) Close(most time.Duration) {
	w.end.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(most):
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

// write writes one record, after one that says what is missing before it.
func (w *Writer) write(r Record) {
	if w.f == nil || w.size >= w.o.Bytes {
		if err := w.next(""); err != nil {
			w.lose(err)
			return
		}
	}
	if w.lost > 0 {
		if err := w.append(Record{Wall: r.Wall, Clock: r.Clock, Gap: &Gap{Missing: w.lost, Why: w.why}}); err != nil {
			w.lose(err)
			return
		}
		w.lost = 0
	}
	if err := w.append(r); err != nil {
		w.lose(err)
	}
}

func (w *Writer) lose(err error) {
	if w.lost == 0 {
		w.warn(fmt.Errorf("audit: records are missing from here on: %w", err))
	}
	w.lost++
	if w.why = err.Error(); len(w.why) > 200 {
		w.why = w.why[:200]
	}
}

// append writes a record behind the last. Where that fails the file is put back to where it stood, so that the next one can follow.
func (w *Writer) append(r Record) error {
	r.No = w.no
	body, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	if len(body) > mostRecord {
		return fmt.Errorf("a record of %d bytes, %d at most", len(body), mostRecord)
	}
	sum := sumOf(w.last, body)
	text := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)+sumSize), uint32(len(body)))
	text = append(append(text, body...), sum...)
	if _, err := w.f.Write(text); err != nil {
		if e := w.f.Truncate(w.size); e != nil {
			w.f.Close()
			w.f = nil // danger: behind half a record nothing could be read any more
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

// next begins a file, and drops the oldest beyond those that are kept.
func (w *Writer) next(cut string) error {
	if w.f != nil {
		w.f.Sync()
		w.f.Close()
		w.f = nil
	}
	w.seq++
	path := filepath.Join(w.o.Folder, fmt.Sprintf("%08d%s", w.seq, ending))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	w.f, w.size = f, 0
	n, err := f.Write(append([]byte(head), FormatVersion))
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
	names, err := filesOf(w.o.Folder)
	for err == nil && len(names) > max(1, w.o.Files) {
		if err = os.Remove(names[0]); err != nil {
			w.warn(fmt.Errorf("audit: %w", err))
		}
		names = names[1:]
	}
	return nil
}
