// Package audit keeps account of what a dispatcher acted on. Recorder is the part without I/O: it counts acts in spans, each of
// which has the versions that were held, and remembers single acts of the latest requests. Package trail writes it to a folder and
// reads it back.
package audit

import (
	"slices"

	"foldlb.example/foldlb/internal/membership"
)

// Kind is what was done to the outside.
type Kind uint8

// The kinds of acts.
const (
	Sent     Kind = iota // a branch was given to a worker's connection to write
	GivenUp              // a branch was ended, and its worker told so
	Answered             // served
	Refused              // answered busy
	Failed               // answered as failed
	NumKinds             // how many kinds there are
)

var kindNames = [NumKinds]string{"sent", "given up", "answered", "refused", "failed"}

func (k Kind) String() string {
	if k < NumKinds {
		return kindNames[k]
	}
	return "unknown"
}

// Versions are what a dispatcher acts on.
type Versions struct {
	Program membership.Version `cbor:"1,keyasint"`
	Config  membership.Version `cbor:"2,keyasint"`
	Routes  membership.Version `cbor:"3,keyasint"`
	Begun   int                `cbor:"4,keyasint"` // counts the beginnings of route sets: other sources, and sources that began anew
}

// Span is a time in which a dispatcher acted on the same versions. Times are seconds on its own clock.
type Span struct {
	No       uint64           `cbor:"1,keyasint"`
	Versions Versions         `cbor:"2,keyasint"`
	From     float64          `cbor:"3,keyasint"` // when the versions came into force, or the last span ended
	First    float64          `cbor:"4,keyasint"` // act; 0 where there was none
	Last     float64          `cbor:"5,keyasint"`
	Until    float64          `cbor:"6,keyasint"`
	Counts   [NumKinds]uint64 `cbor:"7,keyasint"`

	// Of the branches among the acts, which alone fall under floors and lists: an answer to a request that was taken before may come
	// after. 0 where there was none, and in records of builds that did not tell them apart.
	FirstSent float64 `cbor:"8,keyasint,omitempty"`
	LastSent  float64 `cbor:"9,keyasint,omitempty"`
}

// Sends is when the span's first and last branch were sent; where that is not told, when its first and last act were. No branch: false.
func (s Span) SendTimes() (first, last float64, any bool) {
	switch {
	case s.Counts[Sent] == 0:
		return 0, 0, false
	case s.LastSent == 0:
		return s.First, s.Last, true
	}
	return s.FirstSent, s.LastSent, true
}

// Acts is how many acts a span has.
func (s Span) Acts() (n uint64) {
	for _, c := range s.Counts {
		n += c
	}
	return n
}

// Act is a single act.
type Act struct {
	At       float64
	Kind     Kind
	Request  string
	Worker   string // of what was sent or given up
	Versions Versions
}

const (
	spanMost = 10.0 // seconds of a span
	ringMost = 8192 // single acts that are remembered
	heldMost = 1024 // versions that they may name; acts on older ones are forgotten
)

// Recorder is a dispatcher's account. It must be used from one goroutine. Its zero value is not ready for use: see New.
type Recorder struct {
	now  Span
	ring []ringAct
	next int
	held []Versions       // that the ring's acts name; the last is in force
	base int              // of held's first, counted from the beginning
	done []Span           // ended, and not taken yet
	sum  [NumKinds]uint64 // of all that has ended
}

type ringAct struct {
	at       float64
	request  string
	worker   string
	versions int // counted from the beginning
	kind     Kind
}

// New begins an account. No is the number of the first span: one more than a predecessor's last.
func New(now float64, no uint64, v Versions) *Recorder {
	b := &Recorder{ring: make([]ringAct, 0, ringMost), held: []Versions{v}}
	b.now = Span{No: no, Versions: v, From: now}
	return b
}

// Act counts an act. It allocates nothing but the ring, once.
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
	a := ringAct{at: now, request: request, worker: worker, versions: b.base + len(b.held) - 1, kind: kind}
	if len(b.ring) < ringMost {
		b.ring = append(b.ring, a)
		return
	}
	b.ring[b.next] = a
	b.next = (b.next + 1) % ringMost
}

// Hold says which versions are held from now on, and tells whether they are others. What was counted before belongs to those before.
func (b *Recorder) SetVersions(now float64, v Versions) bool {
	if v == b.now.Versions {
		return false
	}
	b.end(now)
	b.now.Versions = v
	b.held = append(b.held, v)
	if len(b.held) > 2*heldMost { // danger: route sets that change all the time, with hardly an act between, would be kept for ever
		b.base += len(b.held) - heldMost
		b.held = slices.Clone(b.held[len(b.held)-heldMost:])
	}
	return true
}

// Pass ends a span that has lasted long enough, and tells whether one is due.
func (b *Recorder) EndDueSpan(now float64) {
	if now-b.now.From >= spanMost {
		b.end(now)
	}
}

// End ends the span that is under way.
func (b *Recorder) End(now float64) { b.end(now) }

func (b *Recorder) end(now float64) {
	s := b.now
	s.Until = now
	b.done = append(b.done, s)
	for k, n := range s.Counts {
		b.sum[k] += n
	}
	b.now = Span{No: s.No + 1, Versions: s.Versions, From: now}
}

// Take returns the spans that have ended since it was last called.
func (b *Recorder) Take() []Span {
	done := b.done
	b.done = nil
	return done
}

// Now is the span that is under way.
func (b *Recorder) Now() Span { return b.now }

// Of returns the acts on a request that are remembered, in order.
func (b *Recorder) ActsOf(request string) (all []Act) {
	for i := range b.ring {
		a := b.ring[(b.next+i)%len(b.ring)]
		if a.request == request && a.versions >= b.base {
			all = append(all, Act{At: a.at, Kind: a.kind, Request: a.request, Worker: a.worker, Versions: b.held[a.versions-b.base]})
		}
	}
	return all
}

// Sums are the counts of all spans that have ended.
func (b *Recorder) Sums() [NumKinds]uint64 { return b.sum }

// State is what passes to a successor: single acts stay behind.
type State struct {
	Now  Span             `cbor:"1,keyasint"`
	Done []Span           `cbor:"2,keyasint,omitempty"`
	Sums [NumKinds]uint64 `cbor:"3,keyasint"`
}

// Export returns the account without single acts.
func (b *Recorder) Export() State {
	return State{Now: b.now, Done: slices.Clone(b.done), Sums: b.sum}
}

// Import goes on with an account.
func Import(s State) *Recorder {
	b := New(s.Now.From, s.Now.No, s.Now.Versions)
	b.now, b.done, b.sum = s.Now, slices.Clone(s.Done), s.Sums
	return b
}
