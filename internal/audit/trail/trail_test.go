package trail

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

func options(folder string) Options {
	return Options{Folder: folder, Member: "n1", Process: 7, Files: 100, Bytes: 1 << 20}
}

func span(no uint64, route int64, sent uint64) audit.Span {
	s := audit.Span{No: no, From: float64(no), First: float64(no), Last: float64(no), Until: float64(no) + 1,
		Versions: audit.Versions{Routes: membership.Version{No: route, Digest: uint64(route), Source: "d"}, Config: membership.Version{No: 1, Source: "f"}}}
	s.Counts[audit.Sent] = sent
	return s
}

// written writes spans and ends in order.
func written(t *testing.T, o Options, spans ...audit.Span) Predecessor {
	t.Helper()
	w, last, err := Open(o, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	var sums [audit.NumKinds]uint64
	for _, s := range spans {
		w.Put(s.Until, Record{Span: &s})
		for k, n := range s.Counts {
			sums[k] += n
		}
	}
	w.Put(99, Record{End: &End{Counts: sums, Spans: uint64(len(spans))}})
	w.Close(10 * time.Second)
	return last
}

func verified(t *testing.T, folders ...string) Result {
	t.Helper()
	v, err := Verify(folders, true)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func broken(v Result) string {
	var all []string
	for _, b := range v.Violations {
		all = append(all, b.Where+": "+b.What)
	}
	return strings.Join(all, "; ")
}

// TestGoesOn: a second process goes on with the first one's record, knows what it acted on, and both verify as one.
func TestGoesOn(t *testing.T) {
	dir := t.TempDir()
	written(t, options(dir), span(1, 3, 5), span(2, 4, 6))
	o := options(dir)
	o.Process = 8
	last := written(t, o, span(1, 4, 1))
	if !last.Any || !last.Ended || last.Process != 7 || last.Versions.Routes.No != 4 || last.Cut != "" {
		t.Errorf("found of the process before: %+v", last)
	}
	if v := verified(t, dir); broken(v) != "" || v.Acts != 12 || v.Members != 1 || len(v.Spans) != 3 {
		t.Errorf("verified as %+v", v)
	}
}

// TestFilesTurnOver: files are bounded in size and number, and what is kept still verifies.
func TestFilesTurnOver(t *testing.T) {
	dir := t.TempDir()
	o := options(dir)
	o.Bytes, o.Files = 2000, 3
	var spans []audit.Span
	for i := range 100 {
		spans = append(spans, span(uint64(i+1), int64(i+1), 1))
	}
	written(t, o, spans...)
	names, _ := filesOf(dir)
	if len(names) != 3 {
		t.Errorf("%d files are kept", len(names))
	}
	if v := verified(t, dir); broken(v) != "" || v.Acts == 0 || v.Acts == 100 {
		t.Errorf("verified as %+v", v)
	}
}

// TestOneWriter: a second process is kept out, and let in when the first has ended.
func TestOneWriter(t *testing.T) {
	dir := t.TempDir()
	w, _, err := Open(options(dir), func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(options(dir), nil); !errors.Is(err, ErrBusy) {
		t.Errorf("a second writer: %v", err)
	}
	w.Close(10 * time.Second)
	written(t, options(dir))
}

// TestDamageIsFound: a record that is torn, cut, altered, reordered, left out, copied from another member or of a newer format.
func TestDamageIsFound(t *testing.T) {
	base := func(t *testing.T) (dir, file string, text []byte, at []int) {
		dir = t.TempDir()
		written(t, options(dir), span(1, 3, 5), span(2, 4, 6), span(3, 5, 7))
		names, _ := filesOf(dir)
		text, err := os.ReadFile(names[0])
		if err != nil {
			t.Fatal(err)
		}
		for n, p := 0, headSize; p < len(text); n++ {
			at = append(at, p)
			_, _, size, err := parse(text[p:], nil, false)
			if err != nil && size == 0 { // the sum is not checked here
				size = lengthSize + int(text[p+2])<<8 + int(text[p+3]) + sumSize
			}
			p += size
		}
		return dir, names[0], text, append(at, len(text))
	}
	for name, tc := range map[string]struct {
		spoil func(text []byte, at []int) []byte
		want  string
		open  string // what the next start says was cut off; empty for nothing
	}{
		"whole":         {func(text []byte, _ []int) []byte { return text }, "", ""},
		"torn":          {func(text []byte, at []int) []byte { return text[:at[3]+9] }, "ends within a record", "torn last record"},
		"torn length":   {func(text []byte, at []int) []byte { return text[:at[3]+2] }, "ends within a record", "torn last record"},
		"no head":       {func([]byte, []int) []byte { return []byte("x") }, "no head", "no head"},
		"a bit flipped": {func(text []byte, at []int) []byte { text[at[2]+lengthSize+12] ^= 4; return text }, "", "sum does not match"},
		"one left out":  {func(text []byte, at []int) []byte { return append(text[:at[2]:at[2]], text[at[3]:]...) }, "its sum does not match", "sum does not match"},
		"two in no order": {func(text []byte, at []int) []byte {
			return append(append(append(append([]byte{}, text[:at[1]]...), text[at[2]:at[3]]...), text[at[1]:at[2]]...), text[at[3]:]...)
		}, "its sum does not match", "sum does not match"},
		"a huge length": {func(text []byte, at []int) []byte { text[at[2]] = 9; return text }, "at most", "a record of"},
	} {
		dir, file, text, at := base(t)
		if err := os.WriteFile(file, tc.spoil(text, at), 0o600); err != nil {
			t.Fatal(err)
		}
		v := verified(t, dir)
		if got := broken(v); tc.open == "" && got != "" || !strings.Contains(got, tc.want) || tc.open != "" && got == "" {
			t.Errorf("%s: verified as %q, want %q", name, got, tc.want)
		}
		last := written(t, options(dir), span(1, 5, 1)) // it is never a reason not to start
		if !strings.Contains(last.Cut, tc.open) || (tc.open == "") != (last.Cut == "") {
			t.Errorf("%s: the next start says %q, want %q", name, last.Cut, tc.open)
		}
		if v = verified(t, dir); v.Cuts != 1 && tc.open != "" {
			t.Errorf("%s: the record does not say that it was cut", name)
		}
	}
	dir, file, text, _ := base(t)
	text[len(head)] = FormatVersion + 1
	os.WriteFile(file, text, 0o600)
	if _, _, err := Open(options(dir), nil); !errors.Is(err, ErrVersion) {
		t.Errorf("a newer format: %v", err)
	}
	if _, err := Verify([]string{dir}, false); !errors.Is(err, ErrVersion) {
		t.Errorf("a newer format: %v", err)
	}
	dir, _, _, _ = base(t)
	o := options(dir)
	o.Member = "n2"
	if _, _, err := Open(o, nil); !errors.Is(err, ErrMember) {
		t.Errorf("another member's folder: %v", err)
	}
	if _, err := Verify([]string{t.TempDir()}, false); err == nil {
		t.Error("an empty folder verifies")
	}
}

// TestPromisesAreChecked: what the versions and counts of a record say, not only its format.
func TestPromisesAreChecked(t *testing.T) {
	older, other := span(2, 2, 1), span(2, 3, 1)
	other.Versions.Routes.Digest = 99
	config := span(2, 3, 1)
	config.Versions.Config.No = 0
	times := span(2, 3, 1)
	times.Last = times.Until + 5
	begun := span(2, 2, 1)
	begun.Versions.Begun = 1
	for name, tc := range map[string]struct {
		second audit.Span
		want   string
	}{
		"well":                     {span(2, 4, 1), ""},
		"an older route set":       {older, "acts on route set 2 after 3"},
		"another content":          {other, "has one content here"},
		"an older configuration":   {config, "acts on configuration 0 after 1"},
		"times":                    {times, "in no order"},
		"a source that began anew": {begun, ""},
		"a span that is missing":   {span(3, 4, 1), "span 3 follows span 1"},
		"one that is there twice":  {span(1, 4, 1), "span 1 follows span 1"},
	} {
		dir := t.TempDir()
		written(t, options(dir), span(1, 3, 1), tc.second)
		if got := broken(verified(t, dir)); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
	dir := t.TempDir()
	w, _, err := Open(options(dir), nil)
	if err != nil {
		t.Fatal(err)
	}
	s := span(1, 3, 1)
	w.Put(1, Record{Span: &s})
	w.Put(2, Record{End: &End{}})
	w.Close(10 * time.Second)
	if got := broken(verified(t, dir)); !strings.Contains(got, "says at its end") {
		t.Errorf("counts that don't add up: %q", got)
	}
	a, b := t.TempDir(), t.TempDir()
	written(t, options(a), span(1, 3, 1))
	o := options(b)
	o.Member = "n2"
	written(t, o, other)
	if got := broken(verified(t, a, b)); !strings.Contains(got, "and another at n1") {
		t.Errorf("one number with two contents at two members: %q", got)
	}
}

// slow is a disk that takes nothing until it is let, or fails.
type slow struct {
	file
	wait chan struct{}
	fail *bool
}

func (s slow) Write(p []byte) (int, error) {
	if s.wait != nil {
		<-s.wait
	}
	if s.fail != nil && *s.fail {
		n, _ := s.file.Write(p[:len(p)/2])
		return n, errors.New("no space left on device")
	}
	return s.file.Write(p)
}

func (s slow) Seek(at int64, whence int) (int64, error) { return s.file.(io.Seeker).Seek(at, whence) }

// unstarted is a writer with its folder locked and its file open, whose goroutine the test starts.
func unstarted(t *testing.T, dir string) *Writer {
	t.Helper()
	w := &Writer{o: options(dir), queue: make(chan Record, mostQueued), done: make(chan struct{}), warn: func(error) {}}
	var err error
	if w.lock, err = lock(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := w.open(); err != nil {
		t.Fatal(err)
	}
	return w
}

// TestSlowDiskDelaysNobody, and what it could not take is recorded as a gap.
func TestSlowDiskDelaysNobody(t *testing.T) {
	dir := t.TempDir()
	w := unstarted(t, dir)
	wait := make(chan struct{})
	w.f = slow{file: w.f, wait: wait}
	go w.run()
	for i := range 2 * mostQueued {
		s := span(uint64(i+1), int64(i+1), 1)
		w.Put(1, Record{Span: &s}) // returns at once, or the test never ends
	}
	close(wait)
	for len(w.queue) > 0 {
		time.Sleep(time.Millisecond) // the writer works it off
	}
	s := span(2*mostQueued+1, 2*mostQueued+1, 1)
	w.Put(2, Record{Span: &s})
	w.Close(10 * time.Second)
	v := verified(t, dir)
	if broken(v) != "" || v.Missing == 0 || v.Acts+v.Missing != 2*mostQueued+1 {
		t.Errorf("verified as %+v: %s", v, broken(v))
	}
}

// TestFullDisk: half a record that was written is taken back, and the record goes on behind a gap when there is room again.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	w := unstarted(t, dir)
	fail := false
	w.f = slow{file: w.f, fail: &fail}
	for i := range 5 {
		fail = i == 1 || i == 2
		s := span(uint64(i+1), int64(i+1), 1)
		w.write(Record{Span: &s})
	}
	w.f.Close()
	w.lock.Close()
	v := verified(t, dir)
	if broken(v) != "" || v.Missing != 2 || v.Acts != 3 {
		t.Errorf("verified as %+v: %s", v, broken(v))
	}
	if os.Geteuid() != 0 {
		ro := t.TempDir()
		os.Chmod(ro, 0o500)
		if _, _, err := Open(options(filepath.Join(ro, "x")), nil); err == nil {
			t.Error("a folder that can't be written is opened")
		}
	}
}

func FuzzRecords(f *testing.F) {
	dir := f.TempDir()
	w, _, err := Open(options(dir), func(error) {})
	if err != nil {
		f.Fatal(err)
	}
	s := span(1, 3, 5)
	w.Put(1, Record{Span: &s})
	w.Close(10 * time.Second)
	names, _ := filesOf(dir)
	text, err := os.ReadFile(names[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Add([]byte(head))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "00000001"+ending), text, 0o600); err != nil {
			t.Fatal(err)
		}
		v, err := Verify([]string{dir}, true)
		if err != nil && !errors.Is(err, ErrVersion) {
			t.Fatal(err)
		}
		w, _, err := Open(options(dir), func(error) {})
		if err != nil {
			if !errors.Is(err, ErrVersion) && !errors.Is(err, ErrMember) {
				t.Fatal(err)
			}
			return
		}
		w.Close(10 * time.Second)
		if again, err := Verify([]string{dir}, false); err != nil || again.Records < v.Records+1 {
			t.Fatal(fmt.Sprint("what stood before can't be read behind a new start: ", v.Records, again.Records, err))
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	for _, members := range []int{1, 80} {
		b.Run(fmt.Sprintf("a day of %d", members), func(b *testing.B) {
			var folders []string
			for m := range members {
				o := options(filepath.Join(b.TempDir(), "record"))
				o.Bytes, o.Member, o.Process = 64<<20, fmt.Sprint("n", m), uint64(m+1)
				w, _, err := Open(o, func(error) {})
				if err != nil {
					b.Fatal(err)
				}
				for i := range 8640 { // a day of spans of ten seconds
					s := span(uint64(i+1), int64(i+1), 100)
					w.write(Record{Span: &s})
				}
				w.Close(10 * time.Second)
				folders = append(folders, o.Folder)
			}
			for b.Loop() {
				v, err := Verify(folders, false)
				if err != nil || len(v.Violations) > 0 {
					b.Fatal(v.Violations, err)
				}
				b.ReportMetric(float64(v.Bytes)/float64(members), "bytes/member")
			}
		})
	}
}
