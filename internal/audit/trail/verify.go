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

// Violation is a violated rule, or a record that is damaged or inconsistent.
type Violation struct {
	Member string  `json:"member"`
	Where  string  `json:"where"` // file name and record number or byte offset
	What   string  `json:"what"`
	Wall   int64   `json:"wall_ms,omitempty"`
	Clock  float64 `json:"clock,omitempty"`
}

// Use summarizes a member's acts on one version of a kind. Wall-clock times are in Unix milliseconds.
type Use struct {
	Member    string             `json:"member"`
	Kind      string             `json:"kind"`
	Version   membership.Version `json:"version"`
	Begun     int                `json:"begun,omitempty"`
	FirstWall int64              `json:"first_wall_ms"`
	LastWall  int64              `json:"last_wall_ms"`
	Acts      uint64             `json:"acts"`
}

// Entry is a span with its member and process.
type Entry struct {
	Member  string     `json:"member"`
	Process uint64     `json:"process"`
	Wall    int64      `json:"wall_ms"` // Unix milliseconds when it was written, at its end
	Span    audit.Span `json:"span"`
}

// Result is the result of Verify.
type Result struct {
	Members    int         `json:"members"`
	Records    uint64      `json:"records"`
	Bytes      int64       `json:"bytes"`
	Acts       uint64      `json:"acts"`
	Missing    uint64      `json:"missing"` // records reported missing by gaps
	Cuts       int         `json:"cuts"`    // files whose end was cut off or unreadable
	Violations []Violation `json:"breaks"`
	Uses       []Use       `json:"-"`
	Spans      []Entry     `json:"-"`
}

const maxViolations = 200

// processState is the state of a process during verification. any is set once a span was read, hasGap once one may be missing.
type processState struct {
	spans  uint64
	last   audit.Span
	any    bool
	counts [audit.NumKinds]uint64
	hasGap bool
}

type verifier struct {
	Result
	keepSpans   bool
	processes   map[uint64]*processState
	contents    map[versionID]content
	uses        map[useKey]*Use
	member      string
	latest      audit.Versions // versions last applied by the current member
	hasVersions bool
}

type versionID struct {
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

// Verify reads and checks the records of folders, each of one member. keepSpans makes it return all spans. It returns an error if a folder
// can't be read, contains no record or has a newer format; all else is reported as violations. Apart from the record format it shares no code
// with the writer, so that a fault of the writer can't hide itself.
func Verify(folders []string, keepSpans bool) (Result, error) {
	v := &verifier{keepSpans: keepSpans, contents: map[versionID]content{}, uses: map[useKey]*Use{}}
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

func (v *verifier) addViolation(where string, r Record, format string, args ...any) {
	if len(v.Violations) < maxViolations {
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
		if filepath.Ext(e.Name()) == fileExt {
			names = append(names, e.Name())
		}
	}
	if len(names) == 0 {
		return fmt.Errorf("audit: %s holds no record", folder)
	}
	sort.Strings(names)
	v.Members++
	v.member, v.hasVersions, v.latest = "", false, audit.Versions{}
	v.processes = map[uint64]*processState{}
	var sum []byte
	var next uint64
	for i, name := range names {
		if sum, next, err = v.readFile(filepath.Join(folder, name), name, sum, next, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// readFile verifies one file and returns the checksum and record number with which the next file must continue.
func (v *verifier) readFile(path, name string, sum []byte, next uint64, first bool) ([]byte, uint64, error) {
	f, err := os.Open(path)
	if err != nil {
		return sum, next, fmt.Errorf("audit: %w", err)
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 64<<10)
	top := make([]byte, headSize)
	if _, err := io.ReadFull(in, top); err != nil || string(top[:len(fileMagic)]) != fileMagic {
		v.addViolation(name, Record{}, "is no record: it has no head")
		return sum, next, nil
	}
	if top[len(fileMagic)] > FormatVersion {
		return sum, next, fmt.Errorf("%w: %s is of format %d", ErrVersion, path, top[len(fileMagic)])
	}
	process := uint64(0)
	for n, at := 0, int64(headSize); ; n++ {
		var size [lengthSize]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			if !errors.Is(err, io.EOF) {
				v.addViolation(fmt.Sprintf("%s, byte %d", name, at), Record{}, "the file ends within a record")
			}
			return sum, next, nil
		}
		length := binary.BigEndian.Uint32(size[:])
		where := fmt.Sprintf("%s, byte %d", name, at)
		if length > maxRecordBytes {
			v.addViolation(where, Record{}, "a record of %d bytes, %d at most: nothing behind it can be read", length, maxRecordBytes)
			return sum, next, nil
		}
		text := make([]byte, int(length)+sumSize)
		if _, err := io.ReadFull(in, text); err != nil {
			v.addViolation(where, Record{}, "the file ends within a record")
			return sum, next, nil
		}
		at += int64(lengthSize + len(text))
		body, checksum := text[:length], text[length:]
		var r Record
		if err := decoder.Unmarshal(body, &r); err != nil {
			v.addViolation(where, Record{}, "no record: %v", err)
			return sum, next, nil
		}
		if n == 0 {
			if r.Begin == nil {
				v.addViolation(where, r, "a file that does not begin with its member's name")
				return sum, next, nil
			}
			if !first && string(r.Begin.Last) != string(sum) {
				v.addViolation(where, r, "does not go on from the file before: records are missing or altered")
			}
			sum = r.Begin.Last
			if first {
				next = r.No
			}
		}
		h := sha256.New()
		h.Write(sum)
		h.Write(body)
		if own := h.Sum(nil); string(own) != string(checksum) {
			v.addViolation(where, r, "its sum does not match: it, or one before it, is altered, missing or in another place")
			return sum, next, nil
		} else {
			sum = own
		}
		if r.No != next {
			v.addViolation(where, r, "record %d stands where %d should", r.No, next)
		}
		next = r.No + 1
		v.Records++
		v.Bytes += int64(lengthSize) + int64(len(text))
		v.checkRecord(fmt.Sprintf("%s, record %d", name, r.No), r, &process)
	}
}

func (v *verifier) checkRecord(where string, r Record, process *uint64) {
	switch {
	case r.Begin != nil:
		if v.member == "" {
			v.member = r.Begin.Member
		} else if v.member != r.Begin.Member {
			v.addViolation(where, r, "is of %q, in a folder of %q", r.Begin.Member, v.member)
		}
		*process = r.Begin.Process
		if r.Begin.Held != nil && !v.hasVersions {
			v.hasVersions, v.latest = true, *r.Begin.Held // versions applied in files that were deleted
		}
		if r.Begin.Cut != "" {
			v.Cuts++
			if l := v.processes[*process]; l != nil {
				l.hasGap = true
			}
		}
	case r.Gap != nil:
		v.Missing += r.Gap.Missing
		v.processState(*process).hasGap = true
	case r.Held != nil:
		v.checkVersions(where, r, *r.Held)
	case r.Span != nil:
		v.checkSpan(where, r, *process)
	case r.End != nil:
		if l := v.processState(*process); !l.hasGap && (l.counts != r.End.Counts) {
			v.addViolation(where, r, "the process says at its end that it did %v, and its spans say %v", r.End.Counts, l.counts)
		}
	}
}

func (v *verifier) processState(process uint64) *processState {
	l := v.processes[process]
	if l == nil {
		l = &processState{}
		v.processes[process] = l
	}
	return l
}

// checkVersions checks that a member never goes back to an older version, not even in a later process.
func (v *verifier) checkVersions(where string, r Record, now audit.Versions) {
	old := v.latest
	if v.hasVersions {
		if old.Config.Source == now.Config.Source && old.Config.No > now.Config.No {
			v.addViolation(where, r, "acts on configuration %d after %d", now.Config.No, old.Config.No)
		}
		if old.Begun > now.Begun {
			v.addViolation(where, r, "acts on the source's beginning %d after %d", now.Begun, old.Begun)
		} else if old.Begun == now.Begun && old.Routes.Source == now.Routes.Source && old.Routes.No > now.Routes.No && now.Routes.No >= 0 {
			v.addViolation(where, r, "acts on route set %d after %d of the same source", now.Routes.No, old.Routes.No)
		}
	}
	v.hasVersions, v.latest = true, now
	if now.Routes.No < 0 {
		v.latest.Routes = old.Routes // it has no route set yet, so the last one still counts
	}
}

func (v *verifier) checkSpan(where string, r Record, process uint64) {
	s, l := *r.Span, v.processState(process)
	if !v.hasVersions || s.Versions != v.latest {
		v.checkVersions(where, r, s.Versions)
	}
	if l.any {
		if !l.hasGap && s.No != l.last.No+1 {
			v.addViolation(where, r, "span %d follows span %d", s.No, l.last.No)
		}
	} else if s.No > 1 {
		l.hasGap = true // its first spans are in files that were deleted
	}
	if s.From > s.Until || s.Acts() > 0 && (s.First < s.From || s.Last < s.First || s.Until < s.Last) ||
		s.LastSent != 0 && (s.Counts[audit.Sent] == 0 || s.FirstSent < s.First || s.LastSent < s.FirstSent || s.Last < s.LastSent) {
		v.addViolation(where, r, "its times are in no order: %v", s)
	}
	l.any, l.last = true, s
	l.spans++
	for k, n := range s.Counts {
		l.counts[k] += n
	}
	v.Acts += s.Acts()
	v.checkContent(where, r, "configuration", s.Versions.Config, 0)
	v.checkContent(where, r, "route set", s.Versions.Routes, s.Versions.Begun)
	v.addUse(r, "program", s.Versions.Program, 0, s)
	v.addUse(r, "configuration", s.Versions.Config, 0, s)
	v.addUse(r, "route set", s.Versions.Routes, s.Versions.Begun, s)
	if v.keepSpans {
		v.Spans = append(v.Spans, Entry{Member: v.member, Process: process, Wall: r.Wall, Span: s})
	}
}

// checkContent checks that a version number has the same content at all members.
func (v *verifier) checkContent(where string, r Record, kind string, x membership.Version, begun int) {
	if x.No <= 0 {
		return
	}
	if kind == "route set" && begun > 0 {
		return // numbered anew by its source; members count such restarts differently
	}
	key := versionID{kind: kind, source: x.Source, no: x.No}
	was, seen := v.contents[key]
	if !seen {
		v.contents[key] = content{x.Digest, v.member, where}
	} else if was.digest != x.Digest {
		v.addViolation(where, r, "%s %d of %s has one content here (%x) and another at %s (%x; %s)", kind, x.No, x.Source, x.Digest, was.member, was.digest, was.where)
	}
}

func (v *verifier) addUse(r Record, kind string, x membership.Version, begun int, s audit.Span) {
	key := useKey{v.member, kind, x, begun}
	u := v.uses[key]
	if u == nil {
		u = &Use{Member: v.member, Kind: kind, Version: x, Begun: begun, FirstWall: r.Wall - int64((s.Until-s.From)*1000)}
		v.uses[key] = u
	}
	u.LastWall = r.Wall
	u.Acts += s.Acts()
}
