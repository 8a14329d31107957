package upgrade

import (
	"fmt"
	"hash/fnv"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/snapshot"
)

// Part is a front or source whose state passes on beside the reducer's.
type Part struct {
	Name   string
	Export func(*hold.Files) (any, error)              // the gate is held
	Import func(cbor.RawMessage, *hold.Received) error // the gate is held; what it takes up goes on when it is let go

	Optional bool // an earlier build, or one with it switched off, hands nothing over for it
}

// NewPart makes a part of its two functions.
func NewPart[T any](name string, export func(*hold.Files) (T, error), take func(T, *hold.Received) error) Part {
	return Part{Name: name, Export: func(f *hold.Files) (any, error) { return export(f) },
		Import: func(raw cbor.RawMessage, r *hold.Received) error {
			var st T
			if err := snapshot.Unmarshal(raw, &st); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return take(st, r)
		}}
}

// AsOptional is the part where whoever hands over may hand nothing over for it.
func (p Part) AsOptional() Part {
	p.Optional = true
	return p
}

// Clock is a dispatcher's clock: seconds that go on counting in another process.
type Clock struct {
	at   float64
	mono int64
}

// NewClock starts a clock at the Unix time.
func NewClock() Clock { return Clock{at: float64(time.Now().UnixNano()) / 1e9, mono: monotonic()} }

// Now tells the time, in seconds. It never runs backwards.
func (c Clock) Now() float64 { return c.at + float64(monotonic()-c.mono)/1e9 }

func monotonic() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(err) // every Linux has it
	}
	return ts.Nano()
}

// Body is all that a dispatcher hands over.
type Runtime struct {
	Loop     *core.Loop
	Reducer  *core.Reducer
	Gate     *hold.Gate
	Clock    Clock
	Listener *hold.Listener
	Control  interface{ FD(func(fd int)) error } // nil for none
	Parts    []Part

	Generation int
	Started    time.Time    // of the first generation
	Reloads    atomic.Int64 // of the configuration, in this process

	goOn func() // while held
}

// Trial takes a snapshot between two steps, and has every later step told to follow.
func (b *Runtime) SnapshotAndFollow(follow func(Followed)) ([]byte, error) {
	goOn, ok := b.Loop.Hold()
	if !ok {
		return nil, fmt.Errorf("upgrade: the loop has ended")
	}
	st, err := b.Reducer.Export()
	if err == nil {
		b.Loop.Observe(func(now float64, ev core.Event, effects []core.Effect) {
			packed, err := snapshot.Pack(ev)
			if err != nil {
				packed = snapshot.Event{} // which the new process refuses
			}
			follow(Followed{Now: now, Event: packed, Digest: Digest(effects)})
		})
	}
	goOn() // danger: writing it down takes far longer, and callers wait meanwhile
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(st)
}

// State takes a snapshot. The body must be held.
func (b *Runtime) Snapshot() ([]byte, error) {
	st, err := b.Reducer.Export()
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(st)
}

// Unfollow ends the telling of steps.
func (b *Runtime) StopFollowing() {
	if goOn, ok := b.Loop.Hold(); ok {
		b.Loop.Observe(nil)
		goOn()
	}
}

// Digest sums up effects, so that two processes can compare theirs.
func Digest(effects []core.Effect) uint64 {
	h := fnv.New64a()
	for _, e := range effects {
		fmt.Fprintf(h, "%T", e)
		text, err := snapshot.Marshal(e)
		if err != nil {
			text = []byte(err.Error())
		}
		h.Write(text)
	}
	return h.Sum64()
}

// pauseCollector keeps the garbage collector from running while everybody waits. The memory limit still counts.
// Danger: it waits for a collection that is under way, so it is called before anything is held.
func pauseCollector() (goOn func()) {
	old := debug.SetGCPercent(-1)
	return func() { debug.SetGCPercent(old) }
}

// Hold stops the loop and brings everything to rest.
func (b *Runtime) Hold(most time.Duration) error {
	goOn, ok := b.Loop.Hold()
	if !ok {
		return fmt.Errorf("upgrade: the loop has ended")
	}
	if err := b.Gate.Hold(most, b.Loop.DrainQueues); err != nil {
		goOn()
		return err
	}
	b.Loop.Observe(nil)
	b.Loop.DrainQueues()
	b.goOn = goOn
	return nil
}

// LetGo lets everything go on.
func (b *Runtime) Release() {
	if b.goOn != nil {
		b.Reducer.ProcessStalled()
		b.Gate.Release()
		b.goOn()
		b.goOn = nil
	}
}

// Pack writes everything down. The body must be held.
func (b *Runtime) Pack(files *hold.Files) (Parcel, error) {
	p := Parcel{Generation: b.Generation + 1, Started: b.Started.UnixNano(), Clock: b.Clock.at, Monotonic: b.Clock.mono,
		Control: -1, Parts: map[string]cbor.RawMessage{}}
	var err error
	for _, ev := range b.Loop.Backlog() {
		packed, err := snapshot.Pack(ev)
		if err != nil {
			return p, err
		}
		p.Backlog = append(p.Backlog, packed)
	}
	if p.Listener, err = files.Add(b.Listener); err != nil {
		return p, fmt.Errorf("listener: %w", err)
	}
	if b.Control != nil {
		if p.Control, err = files.Add(b.Control); err != nil {
			return p, fmt.Errorf("control socket: %w", err)
		}
	}
	for _, part := range b.Parts {
		v, err := part.Export(files)
		if err != nil {
			return p, fmt.Errorf("%s: %w", part.Name, err)
		}
		if p.Parts[part.Name], err = snapshot.Marshal(v); err != nil {
			return p, fmt.Errorf("%s: %w", part.Name, err)
		}
	}
	p.Files = len(files.FDs)
	return p, nil
}
