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

// Part is a component other than the reducer whose state is handed over, such as the callers' connections.
type Part struct {
	Name   string
	Export func(*hold.Files) (any, error)              // called while the gate is held
	Import func(cbor.RawMessage, *hold.Received) error // called while the gate is held; what it restores runs from the release on

	Optional bool // an earlier build, or one with the part disabled, may send no state for it
}

// NewPart returns a part with the given functions; restore imports what export returned.
func NewPart[T any](name string, export func(*hold.Files) (T, error), restore func(T, *hold.Received) error) Part {
	return Part{Name: name, Export: func(f *hold.Files) (any, error) { return export(f) },
		Import: func(raw cbor.RawMessage, r *hold.Received) error {
			var state T
			if err := snapshot.Unmarshal(raw, &state); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return restore(state, r)
		}}
}

// AsOptional returns the part as one for which the old process may send no state.
func (p Part) AsOptional() Part {
	p.Optional = true
	return p
}

// Clock is a dispatcher's clock, which continues in the process that takes over.
type Clock struct {
	startS           float64 // Unix time at the start of the clock
	startMonotonicNs int64   // CLOCK_MONOTONIC at that moment
}

// NewClock starts a clock at the Unix time.
func NewClock() Clock {
	return Clock{startS: float64(time.Now().UnixNano()) / 1e9, startMonotonicNs: monotonicNs()}
}

// Now returns the time in seconds. It never runs backwards.
func (c Clock) Now() float64 { return c.startS + float64(monotonicNs()-c.startMonotonicNs)/1e9 }

func monotonicNs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(err) // CLOCK_MONOTONIC is available on every Linux
	}
	return ts.Nano()
}

// Runtime is everything of a dispatcher that is handed over.
type Runtime struct {
	Loop     *core.Loop
	Reducer  *core.Reducer
	Gate     *hold.Gate
	Clock    Clock
	Listener *hold.Listener
	Control  interface{ FD(func(fd int)) error } // the control socket's listener; nil for none
	Parts    []Part

	Generation int          // 1 for a process that was not handed anything over, one more with each handover
	Started    time.Time    // of the first generation
	Reloads    atomic.Int64 // of the configuration, in this process

	resumeLoop func() // set while held
}

// SnapshotAndFollow takes a snapshot between two steps, and has follow called with every later step.
func (r *Runtime) SnapshotAndFollow(follow func(Followed)) ([]byte, error) {
	resumeLoop, ok := r.Loop.Hold()
	if !ok {
		return nil, fmt.Errorf("upgrade: the loop has ended")
	}
	state, err := r.Reducer.Export()
	if err == nil {
		r.Loop.Observe(func(now float64, ev core.Event, effects []core.Effect) {
			packed, err := snapshot.Pack(ev)
			if err != nil {
				packed = snapshot.Event{} // the new process refuses it
			}
			follow(Followed{Now: now, Event: packed, Digest: Digest(effects)})
		})
	}
	resumeLoop() // before encoding, which takes far longer and would delay callers
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(state)
}

// Snapshot returns the encoded state of the reducer. The runtime must be held.
func (r *Runtime) Snapshot() ([]byte, error) {
	state, err := r.Reducer.Export()
	if err != nil {
		return nil, err
	}
	return snapshot.Encode(state)
}

// StopFollowing ends the calls of SnapshotAndFollow's callback.
func (r *Runtime) StopFollowing() {
	if resumeLoop, ok := r.Loop.Hold(); ok {
		r.Loop.Observe(nil)
		resumeLoop()
	}
}

// Digest returns a hash of effects, so that two processes can compare theirs.
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

// pauseGC disables the garbage collector so that it does not run during the hold. The memory limit still applies.
// The call waits for a collection that is running, so it must come before anything is held.
func pauseGC() (resume func()) {
	old := debug.SetGCPercent(-1)
	return func() { debug.SetGCPercent(old) }
}

// Hold pauses the loop and the gate. If the gate can't be held within maxWait it resumes the loop and returns an error.
func (r *Runtime) Hold(maxWait time.Duration) error {
	resumeLoop, ok := r.Loop.Hold()
	if !ok {
		return fmt.Errorf("upgrade: the loop has ended")
	}
	if err := r.Gate.Hold(maxWait, r.Loop.DrainQueues); err != nil {
		resumeLoop()
		return err
	}
	r.Loop.Observe(nil)
	r.Loop.DrainQueues()
	r.resumeLoop = resumeLoop
	return nil
}

// Release resumes everything after a hold.
func (r *Runtime) Release() {
	if r.resumeLoop != nil {
		r.Reducer.ProcessStalled()
		r.Gate.Release()
		r.resumeLoop()
		r.resumeLoop = nil
	}
}

// Pack encodes everything but the reducer's state, and collects the descriptors in files. The runtime must be held.
func (r *Runtime) Pack(files *hold.Files) (Parcel, error) {
	p := Parcel{Generation: r.Generation + 1, Started: r.Started.UnixNano(), Clock: r.Clock.startS, Monotonic: r.Clock.startMonotonicNs,
		Control: -1, Parts: map[string]cbor.RawMessage{}}
	var err error
	for _, ev := range r.Loop.Backlog() {
		packed, err := snapshot.Pack(ev)
		if err != nil {
			return p, err
		}
		p.Backlog = append(p.Backlog, packed)
	}
	if p.Listener, err = files.Add(r.Listener); err != nil {
		return p, fmt.Errorf("listener: %w", err)
	}
	if r.Control != nil {
		if p.Control, err = files.Add(r.Control); err != nil {
			return p, fmt.Errorf("control socket: %w", err)
		}
	}
	for _, part := range r.Parts {
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
