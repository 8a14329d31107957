// Package audit records which versions a dispatcher acted on. Recorder has no I/O: it counts acts in spans, each with the versions
// in force, and keeps the individual acts of recent requests. Package trail writes the spans to a folder and verifies them.
package audit

import (
	"slices"

	"foldlb.example/foldlb/internal/membership"
)

// Kind is a kind of externally visible act.
type Kind uint8

// The kinds of acts.
const (
	Sent     Kind = iota // a branch was passed to a worker's connection for writing
	GivenUp              // a branch was cancelled and its worker notified
	Answered             // a caller got a result
	Refused              // a caller got a busy response
	Failed               // a caller got a failure response
	NumKinds             // number of kinds
)

var kindNames = [NumKinds]string{"sent", "given up", "answered", "refused", "failed"}

func (k Kind) String() string {
	if k < NumKinds {
		return kindNames[k]
	}
	return "unknown"
}

// Versions are the versions that a dispatcher applies.
type Versions struct {
	Program membership.Version `cbor:"1,keyasint"`
	Config  membership.Version `cbor:"2,keyasint"`
	Routes  membership.Version `cbor:"3,keyasint"`
	Begun   int                `cbor:"4,keyasint"` // incremented when the route set's source changes or restarts its numbering
}

// Span is a period in which a dispatcher applied the same versions. Times are in seconds of its own clock.
type Span struct {
	No       uint64           `cbor:"1,keyasint"`
	Versions Versions         `cbor:"2,keyasint"`
	From     float64          `cbor:"3,keyasint"` // when the versions came into force or the previous span ended
	First    float64          `cbor:"4,keyasint"` // first act; 0 if there was none
	Last     float64          `cbor:"5,keyasint"` // last act
	Until    float64          `cbor:"6,keyasint"` // end of the span
	Counts   [NumKinds]uint64 `cbor:"7,keyasint"` // acts by kind

	// First and last branch sent. Floors and route sets apply to branches only: a request accepted earlier may still be answered later. 0 if
	// there was none, and in records of older builds without these fields.
	FirstSent float64 `cbor:"8,keyasint,omitempty"`
	LastSent  float64 `cbor:"9,keyasint,omitempty"`
}

// SendTimes returns when the span's first and last branch were sent, or the times of its first and last act if the record lacks these, and
// false if no branch was sent.
func (s Span) SendTimes() (first, last float64, any bool) {
	switch {
	case s.Counts[Sent] == 0:
		return 0, 0, false
	case s.LastSent == 0:
		return s.First, s.Last, true
	}
	return s.FirstSent, s.LastSent, true
}

// Acts returns the number of acts in the span.
func (s Span) Acts() (n uint64) {
	for _, c := range s.Counts {
		n += c
	}
	return n
}

// Act is an individual act. At is in seconds.
type Act struct {
	At       float64
	Kind     Kind
	Request  string
	Worker   string // set for Sent and GivenUp
	Versions Versions
}

const (
	maxSpanS          = 10.0 // after which a span is ended
	maxRecentActs     = 8192 // individual acts kept
	maxRecentVersions = 1024 // versions kept for these acts; acts on older versions are dropped
)

// Recorder counts a dispatcher's acts. It must be used from one goroutine only. The zero value isn't usable: see New.
type Recorder struct {
	now            Span
	recent         []recentAct
	next           int
	recentVersions []Versions       // referred to by recent; the last is in force
	firstVersion   int              // index of recentVersions[0] among all versions
	ended          []Span           // ended spans not returned by Take yet
	sums           [NumKinds]uint64 // over all ended spans
}

type recentAct struct {
	at       float64
	request  string
	worker   string
	versions int // index among all versions
	kind     Kind
}

// New returns a recorder. no is the number of the first span, one more than a predecessor's last.
func New(now float64, no uint64, v Versions) *Recorder {
	b := &Recorder{recent: make([]recentAct, 0, maxRecentActs), recentVersions: []Versions{v}}
	b.now = Span{No: no, Versions: v, From: now}
	return b
}

// Act records an act. It doesn't allocate.
func (b *Recorder) Act(now float64, kind Kind, request, worker string) {
	if b.now.First == 0 {
		b.now.First = now
	}
	b.now.Last = now
	if kind == Sent {
		if b.now.FirstSent == 0 {
			b.now.FirstSent = now
		}
		b.now.LastSent = now
	}
	b.now.Counts[kind]++
	a := recentAct{at: now, request: request, worker: worker, versions: b.firstVersion + len(b.recentVersions) - 1, kind: kind}
	if len(b.recent) < maxRecentActs {
		b.recent = append(b.recent, a)
		return
	}
	b.recent[b.next] = a
	b.next = (b.next + 1) % maxRecentActs
}

// SetVersions sets the versions in force and reports whether they changed. Earlier acts stay in a span of the earlier versions.
func (b *Recorder) SetVersions(now float64, v Versions) bool {
	if v == b.now.Versions {
		return false
	}
	b.end(now)
	b.now.Versions = v
	b.recentVersions = append(b.recentVersions, v)
	if len(b.recentVersions) > 2*maxRecentVersions { // bounds the memory if route sets change often with hardly any acts in between
		b.firstVersion += len(b.recentVersions) - maxRecentVersions
		b.recentVersions = slices.Clone(b.recentVersions[len(b.recentVersions)-maxRecentVersions:])
	}
	return true
}

// EndDueSpan ends the current span if it is at least maxSpanS old.
func (b *Recorder) EndDueSpan(now float64) {
	if now-b.now.From >= maxSpanS {
		b.end(now)
	}
}

// End ends the current span.
func (b *Recorder) End(now float64) { b.end(now) }

func (b *Recorder) end(now float64) {
	s := b.now
	s.Until = now
	b.ended = append(b.ended, s)
	for k, n := range s.Counts {
		b.sums[k] += n
	}
	b.now = Span{No: s.No + 1, Versions: s.Versions, From: now}
}

// Take returns the spans that have ended since the last call.
func (b *Recorder) Take() []Span {
	done := b.ended
	b.ended = nil
	return done
}

// Now returns the current span.
func (b *Recorder) Now() Span { return b.now }

// ActsOf returns the recorded acts of a request that are still kept, in order.
func (b *Recorder) ActsOf(request string) (all []Act) {
	for i := range b.recent {
		a := b.recent[(b.next+i)%len(b.recent)]
		if a.request == request && a.versions >= b.firstVersion {
			all = append(all, Act{At: a.at, Kind: a.kind, Request: a.request, Worker: a.worker, Versions: b.recentVersions[a.versions-b.firstVersion]})
		}
	}
	return all
}

// Sums returns the number of acts in all ended spans, by kind.
func (b *Recorder) Sums() [NumKinds]uint64 { return b.sums }

// State is the state handed over to a successor, without individual acts.
type State struct {
	Now  Span             `cbor:"1,keyasint"`
	Done []Span           `cbor:"2,keyasint,omitempty"`
	Sums [NumKinds]uint64 `cbor:"3,keyasint"`
}

// Export returns the recorder's state without individual acts.
func (b *Recorder) Export() State {
	return State{Now: b.now, Done: slices.Clone(b.ended), Sums: b.sums}
}

// Import returns a recorder that continues from an exported state.
func Import(s State) *Recorder {
	b := New(s.Now.From, s.Now.No, s.Now.Versions)
	b.now, b.ended, b.sums = s.Now, slices.Clone(s.Done), s.Sums
	return b
}
