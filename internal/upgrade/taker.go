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

// ended tells whether an error says that the other end of a pipe is closed, after a whole message. With words that
// it had not read it is said to be reset.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// FromEnv opens the pipe that the environment names. It returns nil where this process was started by itself.
func FromEnv(getenv func(string) string) (*Pipe, error) {
	text := getenv(EnvPipe)
	if text == "" {
		return nil, nil
	}
	os.Unsetenv(EnvPipe)
	words, files, ok := strings.Cut(text, ",")
	w, errW := strconv.Atoi(words)
	f, errF := strconv.Atoi(files)
	if !ok || errW != nil || errF != nil || w < 3 || f < 3 {
		return nil, fmt.Errorf("%s: %q does not name two descriptors", EnvPipe, text)
	}
	return Inherit(w, f)
}

// ErrCancelled says that the running process goes on, and that nothing of what it sent may be used.
var ErrCancelled = errors.New("the running process goes on")

// Taken is everything that was handed over, before the word to go.
type Taken struct {
	Parcel  Parcel
	Reducer *core.Reducer
	Backlog []core.Event
	Files   *hold.Received
	Clock   Clock

	pipe               *Pipe
	collect            func() // lets the collector run again
	followed, differed int

	begun, opened, imported time.Time // of taking up
}

// Times tells how long the parts of taking up took: reading what was written down, putting everything in its place,
// and the last words.
func (t *Taken) Durations() (read, place, words time.Duration) {
	return t.opened.Sub(t.begun), t.imported.Sub(t.opened), time.Since(t.imported)
}

// Settings tells under which settings a process goes on with a state.
type SettingsFunc func(core.State) (choice.Settings, error)

// Take rehearses with the old process and receives everything from it. settings are the new process's own, unless the state says that newer
// ones are in force; what passes on gets behind the gate.
func Receive(p *Pipe, settings SettingsFunc, version string, gate *hold.Gate) (*Taken, error) {
	if err := p.Send(Hello{Protocol: Protocol, Schema: ownSchema, Version: version, PID: os.Getpid()}); err != nil {
		return nil, err
	}
	t := &Taken{pipe: p, Files: gate.Receive()}
	var twin *core.Reducer
	for {
		m, err := p.Receive(snapshot.MaxBytes)
		if err != nil {
			return nil, fmt.Errorf("the old process said no more: %w", err)
		}
		switch m := m.(type) {
		case Trial:
			if twin, err = restore(m.Reducer, settings); err != nil {
				return nil, err
			}
			if err := p.Send(TrialTaken{Bytes: len(m.Reducer)}); err != nil {
				return nil, err
			}
		case Followed:
			if err := t.follow(twin, m); err != nil {
				return nil, err
			}
		case Ahead:
			if err := t.takeAhead(m); err != nil {
				return nil, err
			}
		case Cancelled:
			return nil, fmt.Errorf("%w: %s", ErrCancelled, m.Reason)
		case Parcel:
			err := t.open(m, twin, settings)
			t.opened = time.Now()
			return t, err
		default:
			return nil, fmt.Errorf("%w: %T was not expected", snapshot.ErrFormat, m)
		}
	}
}

func restore(text []byte, settings SettingsFunc) (*core.Reducer, error) {
	st, err := snapshot.Decode(text)
	if err != nil {
		return nil, err
	}
	under, err := settings(st)
	if err != nil {
		return nil, err
	}
	return core.Import(under, st)
}

// follow takes the old process's step and compares. After the first difference there is nothing to compare with.
func (t *Taken) follow(twin *core.Reducer, f Followed) error {
	if twin == nil {
		return fmt.Errorf("%w: a step before the first snapshot", snapshot.ErrFormat)
	}
	t.followed++
	if t.differed > 0 {
		t.differed++
		return nil
	}
	ev, err := f.Event.Unpack()
	if err != nil {
		return err
	}
	if effects := twin.Step(f.Now, ev); Digest(effects) != f.Digest {
		t.differed++
		return t.pipe.Send(Differs{Steps: t.followed, First: fmt.Sprintf("step %d, event %T: %d effects of its own", t.followed, ev, len(effects))})
	}
	return nil
}

// takeAhead takes descriptors that pass on ahead; none says that these were all.
func (t *Taken) takeAhead(a Ahead) error {
	if a.Files == 0 {
		if t.collect == nil {
			t.collect = pauseCollector()
		}
		return t.pipe.Send(AheadTaken{})
	}
	fds, err := t.pipe.ReceiveFiles(a.Files)
	if err != nil {
		return err
	}
	return t.Files.ReceiveAhead(fds)
}

// open takes the rest of the descriptors and what was written down. A twin that has followed every step, and always
// did the same, stands where the old process's reducer stands; any other is dropped for that one's state.
func (t *Taken) open(p Parcel, twin *core.Reducer, settings SettingsFunc) error {
	t.begun = time.Now()
	fds, err := t.pipe.ReceiveFiles(p.Files)
	if err != nil {
		return err
	}
	t.Files.FDs = fds
	t.Parcel, t.Clock, t.Reducer = p, Clock{at: p.Clock, mono: p.Monotonic}, twin
	if twin == nil || t.differed > 0 || t.followed != p.Steps {
		if t.Reducer, err = t.askState(settings); err != nil {
			return err
		}
	}
	for _, packed := range p.Backlog {
		ev, err := packed.Unpack()
		if err != nil {
			return err
		}
		t.Backlog = append(t.Backlog, ev)
	}
	return nil
}

func (t *Taken) askState(settings SettingsFunc) (*core.Reducer, error) {
	if err := t.pipe.Send(NeedState{}); err != nil {
		return nil, err
	}
	m, err := t.pipe.Receive(snapshot.MaxBytes)
	if err != nil {
		return nil, err
	}
	st, ok := m.(State)
	if !ok {
		return nil, fmt.Errorf("%w: %T where the state was expected", snapshot.ErrFormat, m)
	}
	return restore(st.Reducer, settings)
}

// Started tells when the first generation was started.
func (t *Taken) Started() time.Time { return time.Unix(0, t.Parcel.Started) }

// Import hands the parts their state. The gate must be held.
func (t *Taken) Import(parts []Part) error {
	for _, part := range parts {
		raw, ok := t.Parcel.Parts[part.Name]
		if !ok && part.Optional {
			continue
		} else if !ok {
			return fmt.Errorf("%w: nothing for %s", snapshot.ErrFormat, part.Name)
		}
		if err := part.Import(raw, t.Files); err != nil {
			return err
		}
	}
	t.imported = time.Now()
	return nil
}

// Go says that this process is ready, waits for the word to go, and says that it acts. When it returns nil
// everything is this process's own; on an error nothing is.
func (t *Taken) Go() error {
	if t.collect != nil {
		defer func() { go t.collect() }()
	}
	t.Files.Close()
	if err := t.pipe.Send(Ready{Followed: t.followed, Differed: t.differed}); err != nil && !ended(err) {
		return err
	}
	m, err := t.pipe.Receive(0)
	if ended(err) {
		// The old process is dead: before it would go on by itself it kills this one. Danger: without this, one
		// killed between its last word and the word to go would take everything with it.
		return nil
	} else if err != nil {
		return err
	}
	if c, ok := m.(Cancelled); ok {
		return fmt.Errorf("%w: %s", ErrCancelled, c.Reason)
	}
	if _, ok := m.(Go); !ok {
		return fmt.Errorf("%w: %T where the word to go was expected", snapshot.ErrFormat, m)
	}
	if err := t.pipe.Send(Acting{}); err != nil && !ended(err) {
		return err
	}
	t.pipe.Close()
	return nil // where the old one has died meanwhile, it acts no more either
}

// Refuse tells the old process why nothing comes of it.
func Refuse(p *Pipe, why error) { p.Send(Refused{Reason: why.Error()}) }
