package trail

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

// Break is a promise that a record shows broken, or a record that can't be believed.
type Violation struct {
	Member string  `json:"member"`
	Where  string  `json:"where"` // file, and record or byte
	What   string  `json:"what"`
	Wall   int64   `json:"wall_ms,omitempty"`
	Clock  float64 `json:"clock,omitempty"`
}

// Use is what a member did on one version of a kind.
type Use struct {
	Member    string             `json:"member"`
	Kind      string             `json:"kind"`
	Version   membership.Version `json:"version"`
	Begun     int                `json:"begun,omitempty"`
	FirstWall int64              `json:"first_wall_ms"`
	LastWall  int64              `json:"last_wall_ms"`
	Acts      uint64             `json:"acts"`
}

// Entry is a span with where it was found.
type Entry struct {
	Member  string     `json:"member"`
	Process uint64     `json:"process"`
	Wall    int64      `json:"wall_ms"` // when it was written: its end
	Span    audit.Span `json:"span"`
}

// Verdict is what verifying has found.
type Result struct {
	Members    int         `json:"members"`
	Records    uint64      `json:"records"`
	Bytes      int64       `json:"bytes"`
	Acts       uint64      `json:"acts"`
	Missing    uint64      `json:"missing"` // records that gaps tell of
	Cuts       int         `json:"cuts"`    // torn ends that were cut off
	Violations []Violation `json:"breaks"`
	Uses       []Use       `json:"-"`
	Spans      []Entry     `json:"-"`
}

const mostBreaks = 200

// life is a process's record as it is read.
type life struct {
	spans  uint64
	last   audit.Span
	any    bool
	counts [audit.NumKinds]uint64
	gap    bool
}

type verifier struct {
	Result
	keep   bool
	lives  map[uint64]*life
	owners map[origin]content
	uses   map[useKey]*Use
	member string
	newest audit.Versions // of the member that is read
	acted  bool
}

type origin struct {
	kind, source string
	no           int64
}

type content struct {
	digest uint64
	member string
	where  string
}

type useKey struct {
	member, kind string
	v            membership.Version
	begun        int
}

// Verify reads the records of folders, one member's each, and checks what they promise. keep has all spans returned. It shares the format
// of records with the writer, and no code.
func Verify(folders []string, keep bool) (Result, error) {
	v := &verifier{keep: keep, owners: map[origin]content{}, uses: map[useKey]*Use{}}
	for _, folder := range folders {
		if err := v.folder(folder); err != nil {
			return v.Result, err
		}
	}
	for _, u := range v.uses {
		v.Uses = append(v.Uses, *u)
	}
	sort.Slice(v.Uses, func(i, j int) bool {
		a, b := v.Uses[i], v.Uses[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Version.No != b.Version.No {
			return a.Version.No < b.Version.No
		}
		return a.Member < b.Member
	})
	sort.SliceStable(v.Spans, func(i, j int) bool { return v.Spans[i].Wall < v.Spans[j].Wall })
	return v.Result, nil
}

func (v *verifier) broken(where string, r Record, format string, args ...any) {
	if len(v.Violations) < mostBreaks {
		v.Violations = append(v.Violations, Violation{Member: v.member, Where: where, What: fmt.Sprintf(format, args...), Wall: r.Wall, Clock: r.Clock})
	}
}

func (v *verifier) folder(folder string) error {
	list, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	var names []string
	for _, e := range list {
		if filepath.Ext(e.Name()) == ending {
			names = append(names, e.Name())
		}
	}
	if len(names) == 0 {
		return fmt.Errorf("audit: %s holds no record", folder)
	}
	sort.Strings(names)
	v.Members++
	v.member, v.acted, v.newest = "", false, audit.Versions{}
	v.lives = map[uint64]*life{}
	var sum []byte
	var next uint64
	for i, name := range names {
		if sum, next, err = v.file(filepath.Join(folder, name), name, sum, next, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// file reads one file and returns the sum and number to go on from.
func (v *verifier) file(path, name string, sum []byte, next uint64, first bool) ([]byte, uint64, error) {
	f, err := os.Open(path)
	if err != nil {
		return sum, next, fmt.Errorf("audit: %w", err)
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 64<<10)
	top := make([]byte, headSize)
	if _, err := io.ReadFull(in, top); err != nil || string(top[:len(head)]) != head {
		v.broken(name, Record{}, "is no record: it has no head")
		return sum, next, nil
	}
	if top[len(head)] > FormatVersion {
		return sum, next, fmt.Errorf("%w: %s is of format %d", ErrVersion, path, top[len(head)])
	}
	process := uint64(0)
	for n, at := 0, int64(headSize); ; n++ {
		var size [lengthSize]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			if !errors.Is(err, io.EOF) {
				v.broken(fmt.Sprintf("%s, byte %d", name, at), Record{}, "the file ends within a record")
			}
			return sum, next, nil
		}
		length := binary.BigEndian.Uint32(size[:])
		where := fmt.Sprintf("%s, byte %d", name, at)
		if length > mostRecord {
			v.broken(where, Record{}, "a record of %d bytes, %d at most: nothing behind it can be read", length, mostRecord)
			return sum, next, nil
		}
		text := make([]byte, int(length)+sumSize)
		if _, err := io.ReadFull(in, text); err != nil {
			v.broken(where, Record{}, "the file ends within a record")
			return sum, next, nil
		}
		at += int64(lengthSize + len(text))
		body, told := text[:length], text[length:]
		var r Record
		if err := reader.Unmarshal(body, &r); err != nil {
			v.broken(where, Record{}, "no record: %v", err)
			return sum, next, nil
		}
		if n == 0 {
			if r.Begin == nil {
				v.broken(where, r, "a file that does not begin with its member's name")
				return sum, next, nil
			}
			if !first && string(r.Begin.Last) != string(sum) {
				v.broken(where, r, "does not go on from the file before: records are missing or altered")
			}
			sum = r.Begin.Last
			if first {
				next = r.No
			}
		}
		h := sha256.New()
		h.Write(sum)
		h.Write(body)
		if own := h.Sum(nil); string(own) != string(told) {
			v.broken(where, r, "its sum does not match: it, or one before it, is altered, missing or in another place")
			return sum, next, nil
		} else {
			sum = own
		}
		if r.No != next {
			v.broken(where, r, "record %d stands where %d should", r.No, next)
		}
		next = r.No + 1
		v.Records++
		v.Bytes += int64(lengthSize) + int64(len(text))
		v.record(fmt.Sprintf("%s, record %d", name, r.No), r, &process)
	}
}

func (v *verifier) record(where string, r Record, process *uint64) {
	switch {
	case r.Begin != nil:
		if v.member == "" {
			v.member = r.Begin.Member
		} else if v.member != r.Begin.Member {
			v.broken(where, r, "is of %q, in a folder of %q", r.Begin.Member, v.member)
		}
		*process = r.Begin.Process
		if r.Begin.Held != nil && !v.acted {
			v.acted, v.newest = true, *r.Begin.Held // what was acted on in files that are no longer kept
		}
		if r.Begin.Cut != "" {
			v.Cuts++
			if l := v.lives[*process]; l != nil {
				l.gap = true
			}
		}
	case r.Gap != nil:
		v.Missing += r.Gap.Missing
		v.life(*process).gap = true
	case r.Held != nil:
		v.held(where, r, *r.Held)
	case r.Span != nil:
		v.span(where, r, *process)
	case r.End != nil:
		if l := v.life(*process); !l.gap && (l.counts != r.End.Counts) {
			v.broken(where, r, "the process says at its end that it did %v, and its spans say %v", r.End.Counts, l.counts)
		}
	}
}

func (v *verifier) life(process uint64) *life {
	l := v.lives[process]
	if l == nil {
		l = &life{}
		v.lives[process] = l
	}
	return l
}

// held checks that a member goes back behind nothing that it acted on, also not in another process.
func (v *verifier) held(where string, r Record, now audit.Versions) {
	old := v.newest
	if v.acted {
		if old.Config.Source == now.Config.Source && old.Config.No > now.Config.No {
			v.broken(where, r, "acts on configuration %d after %d", now.Config.No, old.Config.No)
		}
		if old.Begun > now.Begun {
			v.broken(where, r, "acts on the source's beginning %d after %d", now.Begun, old.Begun)
		} else if old.Begun == now.Begun && old.Routes.Source == now.Routes.Source && old.Routes.No > now.Routes.No && now.Routes.No >= 0 {
			v.broken(where, r, "acts on route set %d after %d of the same source", now.Routes.No, old.Routes.No)
		}
	}
	v.acted, v.newest = true, now
	if now.Routes.No < 0 {
		v.newest.Routes = old.Routes // it holds no list yet, and forgets nothing
	}
}

func (v *verifier) span(where string, r Record, process uint64) {
	s, l := *r.Span, v.life(process)
	if !v.acted || s.Versions != v.newest {
		v.held(where, r, s.Versions)
	}
	if l.any {
		if !l.gap && s.No != l.last.No+1 {
			v.broken(where, r, "span %d follows span %d", s.No, l.last.No)
		}
	} else if s.No > 1 {
		l.gap = true // its first spans are in files that are no longer kept
	}
	if s.From > s.Until || s.Acts() > 0 && (s.First < s.From || s.Last < s.First || s.Until < s.Last) ||
		s.LastSent != 0 && (s.Counts[audit.Sent] == 0 || s.FirstSent < s.First || s.LastSent < s.FirstSent || s.Last < s.LastSent) {
		v.broken(where, r, "its times are in no order: %v", s)
	}
	l.any, l.last = true, s
	l.spans++
	for k, n := range s.Counts {
		l.counts[k] += n
	}
	v.Acts += s.Acts()
	v.one(where, r, "configuration", s.Versions.Config, 0)
	v.one(where, r, "route set", s.Versions.Routes, s.Versions.Begun)
	v.use(r, "program", s.Versions.Program, 0, s)
	v.use(r, "configuration", s.Versions.Config, 0, s)
	v.use(r, "route set", s.Versions.Routes, s.Versions.Begun, s)
	if v.keep {
		v.Spans = append(v.Spans, Entry{Member: v.member, Process: process, Wall: r.Wall, Span: s})
	}
}

// one checks that one number has one content, wherever it was acted on.
func (v *verifier) one(where string, r Record, kind string, x membership.Version, begun int) {
	if x.No <= 0 {
		return
	}
	if kind == "route set" && begun > 0 {
		return // its own count of beginnings, which other members don't share
	}
	key := origin{kind: kind, source: x.Source, no: x.No}
	was, seen := v.owners[key]
	if !seen {
		v.owners[key] = content{x.Digest, v.member, where}
	} else if was.digest != x.Digest {
		v.broken(where, r, "%s %d of %s has one content here (%x) and another at %s (%x; %s)", kind, x.No, x.Source, x.Digest, was.member, was.digest, was.where)
	}
}

func (v *verifier) use(r Record, kind string, x membership.Version, begun int, s audit.Span) {
	key := useKey{v.member, kind, x, begun}
	u := v.uses[key]
	if u == nil {
		u = &Use{Member: v.member, Kind: kind, Version: x, Begun: begun, FirstWall: r.Wall - int64((s.Until-s.From)*1000)}
		v.uses[key] = u
	}
	u.LastWall = r.Wall
	u.Acts += s.Acts()
}
