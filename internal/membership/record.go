// Package membership maintains a dispatcher's view of its fleet as a value: the members, the state that each reports of itself,
// the verdict of the others on it, and the version floors. It has no I/O and no clock of its own.
//
// A member is identified by its name and advertised address and described by one Record. Records of a member are totally
// ordered and the greater one always wins, so merging is commutative, associative and idempotent: members that have received
// the same records hold the same view.
package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Key identifies a member. Two processes with one name at two addresses are two members, whose names conflict.
type Key struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // advertised host:port
}

func (k Key) String() string { return k.Name + " at " + k.Addr }

// compare orders keys by name, then by address.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Name, o.Name), cmp.Compare(k.Addr, o.Addr))
}

// State is the state that a member reports of itself.
type State uint8

// The states in the order in which a member enters them; only Serving and SentAway may alternate.
const (
	Joining  State = iota // started, has not reached a member yet
	Serving               // accepts callers
	SentAway              // an operator has its callers turned away
	Stopping              // received SIGTERM: finishes open requests and accepts no more
	Left                  // shut down in order, sends nothing more
)

var stateNames = [...]string{"joining", "serving", "sent away", "stopping", "left"}

func (s State) String() string { return enumName(stateNames[:], int(s)) }

// Verdict is the other members' judgement of a member. It applies to the record's Seq only: a member that receives a verdict
// on itself refutes it by raising its Seq.
type Verdict uint8

// The verdicts; at the same Seq a later one overrides an earlier one.
const (
	Fine   Verdict = iota
	Failed         // unreachable for the whole suspicion time-out; it may still run behind a partition
	Gone           // has ended for certain: its machine refused a connection, or an operator removed it
)

var verdictNames = [...]string{"fine", "failed", "gone"}

func (v Verdict) String() string { return enumName(verdictNames[:], int(v)) }

func enumName(all []string, i int) string {
	if i < len(all) {
		return all[i]
	}
	return fmt.Sprintf("unknown (%d)", i)
}

// Version identifies a configuration, route set or program that a member applies.
type Version struct {
	No     int64  `cbor:"1,keyasint"`           // assigned by the source
	Digest uint64 `cbor:"2,keyasint,omitempty"` // of the content
	Source string `cbor:"3,keyasint,omitempty"` // versions of different sources have no order
}

// Record describes a member as of its latest update.
type Record struct {
	Key
	Incarnation uint64  `cbor:"3,keyasint"` // of the process: higher for each later start, even if the clock was set back
	Process     uint64  `cbor:"4,keyasint"` // random id drawn at the start, kept across a handover
	Seq         uint64  `cbor:"5,keyasint"` // incremented with each change that the process reports of itself
	State       State   `cbor:"6,keyasint"`
	Verdict     Verdict `cbor:"7,keyasint,omitempty"`
	Zone        string  `cbor:"8,keyasint,omitempty"`
	Generation  int     `cbor:"9,keyasint"` // number of the process in a chain of upgrades
	Program     Version `cbor:"10,keyasint"`
	Config      Version `cbor:"11,keyasint"`
	Routes      Version `cbor:"12,keyasint"`
	Loser       bool    `cbor:"13,keyasint,omitempty"` // another process has the same name and started first
	Why         string  `cbor:"14,keyasint,omitempty"` // reason for the verdict
}

func (r Record) String() string {
	return fmt.Sprintf("%v (incarnation %d, process %d, seq %d: %v, %v)", r.Key, r.Incarnation, r.Process, r.Seq, r.State, r.Verdict)
}

// Bounds of a record's fields, in bytes, and of a view, in members.
const (
	MaxNameBytes   = 64
	MaxAddrBytes   = 64
	MaxZoneBytes   = 64
	MaxSourceBytes = 128
	MaxWhyBytes    = 128
	MaxMembers     = 1024
	maxCounter     = 1 << 62 // a counter near the maximum of its type could not be incremented any more
)

// ErrRecord reports an invalid record. Errors of Check and Import wrap it.
var ErrRecord = errors.New("membership: record refused")

// Check returns an error that wraps ErrRecord if a field is out of its bounds.
func (r Record) Check() error {
	_, addr := netip.ParseAddrPort(r.Addr)
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Errorf("%w: name has %d bytes, must have 1 to %d", ErrRecord, len(r.Name), MaxNameBytes)
	case addr != nil || len(r.Addr) > MaxAddrBytes:
		return fmt.Errorf("%w: %.64q is not an IP address with a port", ErrRecord, r.Addr)
	case len(r.Zone) > MaxZoneBytes:
		return fmt.Errorf("%w: zone has %d bytes, %d at most", ErrRecord, len(r.Zone), MaxZoneBytes)
	case len(r.Program.Source) > MaxSourceBytes || len(r.Config.Source) > MaxSourceBytes || len(r.Routes.Source) > MaxSourceBytes:
		return fmt.Errorf("%w: source longer than %d bytes", ErrRecord, MaxSourceBytes)
	case len(r.Why) > MaxWhyBytes:
		return fmt.Errorf("%w: reason has %d bytes, %d at most", ErrRecord, len(r.Why), MaxWhyBytes)
	case r.State > Left:
		return fmt.Errorf("%w: state %d", ErrRecord, r.State)
	case r.Verdict > Gone:
		return fmt.Errorf("%w: verdict %d", ErrRecord, r.Verdict)
	case r.Incarnation == 0 || r.Incarnation > maxCounter || r.Seq > maxCounter:
		return fmt.Errorf("%w: incarnation %d, seq %d", ErrRecord, r.Incarnation, r.Seq)
	case r.Generation < 0 || r.Generation > 1<<30:
		return fmt.Errorf("%w: generation %d", ErrRecord, r.Generation)
	}
	return nil
}

// compare orders two records of one member by recency; the greater one wins. The order must be total: after a handover that fell
// back, both processes may have published different records with the same Seq, and if these compared as equal, members could hold
// different records for ever.
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

// Departed reports that the member has ended for certain: its state is Left or its verdict Gone.
func (r Record) Departed() bool { return r.State == Left || r.Verdict == Gone }

// Live reports that the member is neither departed nor judged as Failed.
func (r Record) Live() bool { return !r.Departed() && r.Verdict != Failed }

// digest returns a hash of all fields except Why.
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
