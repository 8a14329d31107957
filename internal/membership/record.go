// Package membership is the view that a fleet's dispatchers keep of themselves, as a value: which members there are, what
// each says of itself, and what the others hold of it. It has no I/O and no clock of its own.
//
// A member is known by its name and the address that it advertises. What is known of it is one Record, and of any two
// records of one member the same one wins everywhere, whatever the order in which they come: so merging views is
// commutative, associative and idempotent, and members that have heard the same hold the same.
package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Key names a member: two processes under one name at two addresses are two members, and a conflict.
type Key struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port that it advertises
}

func (k Key) String() string { return k.Name + " at " + k.Addr }

// compare puts keys in order.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Name, o.Name), cmp.Compare(k.Addr, o.Addr))
}

// State is what a member says of itself.
type State uint8

// The states that a member says of itself, in the order in which they may follow; SentAway and Serving may alternate.
const (
	Joining  State = iota // started, has met nobody yet
	Serving               // takes callers
	SentAway              // staff send its callers away
	Stopping              // SIGTERM has come: what it took is answered, nothing more
	Left                  // has ended in order, and sends nothing any more
)

var stateNames = [...]string{"joining", "serving", "sent away", "stopping", "left"}

func (s State) String() string { return name(stateNames[:], int(s)) }

// Verdict is what other members hold of one. It belongs to the record's Seq: a member that hears a verdict on itself
// raises its Seq, and the verdict is over.
type Verdict uint8

// The verdicts, each of which beats those before it.
const (
	Fine   Verdict = iota
	Failed         // not reached for as long as a suspicion lasts; it may run on behind a partition
	Gone           // surely acts no more: its machine said that nobody listens there, or staff removed it
)

var verdictNames = [...]string{"fine", "failed", "gone"}

func (v Verdict) String() string { return name(verdictNames[:], int(v)) }

func name(all []string, i int) string {
	if i < len(all) {
		return all[i]
	}
	return fmt.Sprintf("unknown (%d)", i)
}

// Version is what a member acts on, of one kind: a number that its source gives, and a digest of what it says.
type Version struct {
	No     int64  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	Source string `cbor:"3,keyasint,omitempty"` // versions of two sources don't compare
}

// Record is what is known of a member.
type Record struct {
	Key
	Incarnation uint64  `cbor:"3,keyasint"` // of the process: a start that is newer has a higher one, also where clocks differ
	Process     uint64  `cbor:"4,keyasint"` // drawn at the start, kept over a hand-over
	Seq         uint64  `cbor:"5,keyasint"` // counts what this process has said of itself
	State       State   `cbor:"6,keyasint"`
	Verdict     Verdict `cbor:"7,keyasint,omitempty"`
	Zone        string  `cbor:"8,keyasint,omitempty"`
	Generation  int     `cbor:"9,keyasint"` // of upgrades
	Program     Version `cbor:"10,keyasint"`
	Config      Version `cbor:"11,keyasint"`
	Routes      Version `cbor:"12,keyasint"`
	Loser       bool    `cbor:"13,keyasint,omitempty"` // another process has its name and was there first
	Why         string  `cbor:"14,keyasint,omitempty"` // of the verdict, in words
}

func (r Record) String() string {
	return fmt.Sprintf("%v (start %d of process %d, word %d: %v, %v)", r.Key, r.Incarnation, r.Process, r.Seq, r.State, r.Verdict)
}

// Bounds of a record's parts, in bytes, and of a view, in members.
const (
	MaxNameBytes   = 64
	MaxAddrBytes   = 64
	MaxZoneBytes   = 64
	MaxSourceBytes = 128
	MaxWhyBytes    = 128
	MaxMembers     = 1024
	mostCounter    = 1 << 62 // danger: a counter near its end could never be raised above
)

// ErrRecord says that a record can't be. Errors of Check wrap it and name what is wrong.
var ErrRecord = errors.New("membership: record refused")

// Check tells whether a record may be taken in.
func (r Record) Check() error {
	_, addr := netip.ParseAddrPort(r.Addr)
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Errorf("%w: a name of %d bytes, 1 to %d", ErrRecord, len(r.Name), MaxNameBytes)
	case addr != nil || len(r.Addr) > MaxAddrBytes:
		return fmt.Errorf("%w: %.64q is no address with a port", ErrRecord, r.Addr)
	case len(r.Zone) > MaxZoneBytes:
		return fmt.Errorf("%w: a zone of %d bytes, %d at most", ErrRecord, len(r.Zone), MaxZoneBytes)
	case len(r.Program.Source) > MaxSourceBytes || len(r.Config.Source) > MaxSourceBytes || len(r.Routes.Source) > MaxSourceBytes:
		return fmt.Errorf("%w: a source of over %d bytes", ErrRecord, MaxSourceBytes)
	case len(r.Why) > MaxWhyBytes:
		return fmt.Errorf("%w: a reason of %d bytes, %d at most", ErrRecord, len(r.Why), MaxWhyBytes)
	case r.State > Left:
		return fmt.Errorf("%w: state %d", ErrRecord, r.State)
	case r.Verdict > Gone:
		return fmt.Errorf("%w: verdict %d", ErrRecord, r.Verdict)
	case r.Incarnation == 0 || r.Incarnation > mostCounter || r.Seq > mostCounter:
		return fmt.Errorf("%w: incarnation %d, seq %d", ErrRecord, r.Incarnation, r.Seq)
	case r.Generation < 0 || r.Generation > 1<<30:
		return fmt.Errorf("%w: generation %d", ErrRecord, r.Generation)
	}
	return nil
}

// compare puts two records of one member in the order of their news: the greater one wins wherever both come. Danger: it
// must be total. Two processes of a hand-over that fell back may have said different things under one Seq, and a rule that
// left them equal would let two members hold different records for ever.
func (r Record) compare(o Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Process, o.Process), cmp.Compare(r.Seq, o.Seq),
		cmp.Compare(r.Verdict, o.Verdict), cmp.Compare(r.State, o.State), cmp.Compare(r.Generation, o.Generation),
		cmp.Compare(r.Zone, o.Zone), r.Program.compare(o.Program), r.Config.compare(o.Config), r.Routes.compare(o.Routes),
		compareBool(r.Loser, o.Loser), cmp.Compare(r.Why, o.Why))
}

func (v Version) compare(o Version) int {
	return cmp.Or(cmp.Compare(v.No, o.No), cmp.Compare(v.Digest, o.Digest), cmp.Compare(v.Source, o.Source))
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	} else if a {
		return 1
	}
	return -1
}

// Over tells that nothing is to be expected of the member any more: it left, or is gone.
func (r Record) Departed() bool { return r.State == Left || r.Verdict == Gone }

// Live tells that the member is held to run and to be reachable.
func (r Record) Live() bool { return !r.Departed() && r.Verdict != Failed }

// digest sums a record up, all but the words.
func (r Record) digest() uint64 {
	var buf [512]byte
	b := buf[:0]
	word := func(s string) { b = append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	number := func(n uint64) { b = binary.AppendUvarint(b, n) }
	word(r.Name)
	word(r.Addr)
	word(r.Zone)
	for _, n := range [...]uint64{r.Incarnation, r.Process, r.Seq, uint64(r.State), uint64(r.Verdict), uint64(r.Generation)} {
		number(n)
	}
	for _, v := range [...]Version{r.Program, r.Config, r.Routes} {
		number(uint64(v.No))
		number(v.Digest)
		word(v.Source)
	}
	if r.Loser {
		number(1)
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
