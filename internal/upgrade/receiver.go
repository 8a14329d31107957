package upgrade

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/snapshot"
)

// pipeClosed reports whether an error means that the other end of a pipe is closed, after a complete message. If it was
// closed with unread messages, the error is a reset.
func pipeClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// FromEnv opens the pipe that EnvPipe names. It returns nil if the variable is not set: this process takes over from none.
func FromEnv(getenv func(string) string) (*Pipe, error) {
	text := getenv(EnvPipe)
	if text == "" {
		return nil, nil
	}
	os.Unsetenv(EnvPipe)
	messageText, fileText, ok := strings.Cut(text, ",")
	messageFD, messageErr := strconv.Atoi(messageText)
	fileFD, fileErr := strconv.Atoi(fileText)
	if !ok || messageErr != nil || fileErr != nil || messageFD < 3 || fileFD < 3 {
		return nil, fmt.Errorf("%s: %q does not name two descriptors", EnvPipe, text)
	}
	return Inherit(messageFD, fileFD)
}

// ErrCancelled means that the running process continues, and that nothing of what it sent may be used.
var ErrCancelled = errors.New("the running process continues")

// Taken is everything that was handed over. The old process owns it until Go has succeeded.
type Taken struct {
	Parcel  Parcel
	Reducer *core.Reducer
	Backlog []core.Event // events to be processed before any new one
	Files   *hold.Received
	Clock   Clock

	pipe                         *Pipe
	resumeGC                     func() // enables the garbage collector again; nil if it was not paused
	stepsFollowed, stepsDiffered int

	parcelReceived, decoded, imported time.Time // when each was done
}

// Durations returns how long the parts of the takeover took: receiving and decoding the rest of the parcel, restoring
// the parts, and the final messages up to this call.
func (r *Taken) Durations() (decode, restore, commit time.Duration) {
	return r.decoded.Sub(r.parcelReceived), r.imported.Sub(r.decoded), time.Since(r.imported)
}

// SettingsFunc returns the settings with which a process continues from a state.
type SettingsFunc func(core.State) (choice.Settings, error)

// Receive follows the old process and receives everything from it. settings returns the new process's own settings, or newer ones if the
// state says that these are in force. The received connections are put behind the gate.
func Receive(p *Pipe, settings SettingsFunc, version string, gate *hold.Gate) (*Taken, error) {
	if err := p.Send(Hello{Protocol: Protocol, Schema: ownSchema, Version: version, PID: os.Getpid()}); err != nil {
		return nil, err
	}
	received := &Taken{pipe: p, Files: gate.Receive()}
	var follower *core.Reducer
	for {
		m, err := p.Receive(snapshot.MaxBytes)
		if err != nil {
			return nil, fmt.Errorf("no further message from the old process: %w", err)
		}
		switch m := m.(type) {
		case Trial:
			if follower, err = restoreReducer(m.Reducer, settings); err != nil {
				return nil, err
			}
			if err := p.Send(TrialTaken{Bytes: len(m.Reducer)}); err != nil {
				return nil, err
			}
		case Followed:
			if err := received.followStep(follower, m); err != nil {
				return nil, err
			}
		case Ahead:
			if err := received.receiveAhead(m); err != nil {
				return nil, err
			}
		case Cancelled:
			return nil, fmt.Errorf("%w: %s", ErrCancelled, m.Reason)
		case Parcel:
			err := received.decode(m, follower, settings)
			received.decoded = time.Now()
			return received, err
		default:
			return nil, fmt.Errorf("%w: unexpected %T", snapshot.ErrFormat, m)
		}
	}
}

func restoreReducer(text []byte, settings SettingsFunc) (*core.Reducer, error) {
	state, err := snapshot.Decode(text)
	if err != nil {
		return nil, err
	}
	resumeSettings, err := settings(state)
	if err != nil {
		return nil, err
	}
	return core.Import(resumeSettings, state)
}

// followStep executes the old process's step and compares the effects. After the first difference it only counts steps.
func (r *Taken) followStep(follower *core.Reducer, f Followed) error {
	if follower == nil {
		return fmt.Errorf("%w: a step before the first snapshot", snapshot.ErrFormat)
	}
	r.stepsFollowed++
	if r.stepsDiffered > 0 {
		r.stepsDiffered++
		return nil
	}
	ev, err := f.Event.Unpack()
	if err != nil {
		return err
	}
	if effects := follower.Step(f.Now, ev); Digest(effects) != f.Digest {
		r.stepsDiffered++
		return r.pipe.Send(Differs{Steps: r.stepsFollowed, First: fmt.Sprintf("step %d, event %T: %d effects of its own", r.stepsFollowed, ev, len(effects))})
	}
	return nil
}

// receiveAhead receives descriptors that are sent ahead; 0 means that all were sent.
func (r *Taken) receiveAhead(a Ahead) error {
	if a.Files == 0 {
		if r.resumeGC == nil {
			r.resumeGC = pauseGC()
		}
		return r.pipe.Send(AheadTaken{})
	}
	fds, err := r.pipe.ReceiveFiles(a.Files)
	if err != nil {
		return err
	}
	return r.Files.ReceiveAhead(fds)
}

// decode receives the remaining descriptors and decodes the parcel. A follower that has executed every step, always with the
// same effects, has the state of the old process's reducer; any other is replaced by one with that reducer's state.
func (r *Taken) decode(p Parcel, follower *core.Reducer, settings SettingsFunc) error {
	r.parcelReceived = time.Now()
	fds, err := r.pipe.ReceiveFiles(p.Files)
	if err != nil {
		return err
	}
	r.Files.FDs = fds
	r.Parcel, r.Clock, r.Reducer = p, Clock{startS: p.Clock, startMonotonicNs: p.Monotonic}, follower
	if follower == nil || r.stepsDiffered > 0 || r.stepsFollowed != p.Steps {
		if r.Reducer, err = r.requestState(settings); err != nil {
			return err
		}
	}
	for _, packed := range p.Backlog {
		ev, err := packed.Unpack()
		if err != nil {
			return err
		}
		r.Backlog = append(r.Backlog, ev)
	}
	return nil
}

func (r *Taken) requestState(settings SettingsFunc) (*core.Reducer, error) {
	if err := r.pipe.Send(NeedState{}); err != nil {
		return nil, err
	}
	m, err := r.pipe.Receive(snapshot.MaxBytes)
	if err != nil {
		return nil, err
	}
	state, ok := m.(State)
	if !ok {
		return nil, fmt.Errorf("%w: %T instead of the state", snapshot.ErrFormat, m)
	}
	return restoreReducer(state.Reducer, settings)
}

// Started returns the time at which the first generation was started.
func (r *Taken) Started() time.Time { return time.Unix(0, r.Parcel.Started) }

// Import restores the parts from their state. The gate must be held.
func (r *Taken) Import(parts []Part) error {
	for _, part := range parts {
		raw, ok := r.Parcel.Parts[part.Name]
		if !ok && part.Optional {
			continue
		} else if !ok {
			return fmt.Errorf("%w: no state for part %s", snapshot.ErrFormat, part.Name)
		}
		if err := part.Import(raw, r.Files); err != nil {
			return err
		}
	}
	r.imported = time.Now()
	return nil
}

// Go sends Ready, waits for the go message, and sends Acting. If it returns nil, this process owns everything; if it returns an
// error, this process owns nothing.
func (r *Taken) Go() error {
	if r.resumeGC != nil {
		defer func() { go r.resumeGC() }()
	}
	r.Files.Close()
	if err := r.pipe.Send(Ready{Followed: r.stepsFollowed, Differed: r.stepsDiffered}); err != nil && !pipeClosed(err) {
		return err
	}
	m, err := r.pipe.Receive(0)
	if pipeClosed(err) {
		// The old process is dead: it kills this process before it resumes by itself. If an exit of the old process
		// between its last message and Go were an error, both processes would be gone, and everything with them.
		return nil
	} else if err != nil {
		return err
	}
	if c, ok := m.(Cancelled); ok {
		return fmt.Errorf("%w: %s", ErrCancelled, c.Reason)
	}
	if _, ok := m.(Go); !ok {
		return fmt.Errorf("%w: %T instead of the go message", snapshot.ErrFormat, m)
	}
	if err := r.pipe.Send(Acting{}); err != nil && !pipeClosed(err) {
		return err
	}
	r.pipe.Close()
	return nil // if the old process has exited meanwhile, it does not act any more either
}

// Refuse tells the old process that this one can't take over, and why.
func Refuse(p *Pipe, reason error) { p.Send(Refused{Reason: reason.Error()}) }
