package core

import (
	"fmt"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// A straggler is brought up: it hears from the view that others act on a newer configuration and asks one of them for its shared part.
// docs/audit-design.md says what passes on, and what does not.

// MaxSharedBytes bounds the text of a configuration's shared part, in bytes.
const MaxSharedBytes = 64 << 10

// fetchEvery is the time between two questions for a configuration, in seconds.
const fetchEvery = 1.0

// AuditConfigured says that another configuration is to be in force, of this dispatcher's own file or of a peer's. It is answered by
// ConfigHeld.
type AuditConfigured struct {
	Config   membership.Version
	Settings *choice.Settings `cbor:",omitempty"` // nil where they have not changed
	Shared   []byte           `cbor:",omitempty"` // the settings' shared part, as text
	By       string           `cbor:",omitempty"` // the member that told it; empty for the own file
}

// ConfigHeld says which configuration is in force, after AuditConfigured or a start.
type ConfigHeld struct {
	Config membership.Version
	Shared []byte
	By     string // the member that told it; empty for the own file
	Fault  string // why another one that was told is not in force; empty where it is
}

// FetchConfig asks a member for the configuration that it acts on.
type FetchConfig struct {
	Process uint64
	Member  string
	Config  membership.Version
}

func (AuditConfigured) event() {}
func (ConfigHeld) effect()     {}
func (FetchConfig) effect()    {}

// configured puts another configuration in force, whole or not at all.
func (r *Reducer) configured(ev AuditConfigured) {
	held := r.Config()
	if held.Fault = r.refusal(ev); held.Fault == "" && ev.Settings != nil && ev.Config.Digest != held.Config.Digest {
		if err := r.reconfigure(*ev.Settings); err != nil {
			held.Fault = err.Error()
		}
	}
	if held.Fault == "" {
		r.audited.Config, r.sharedBy = ev.Config, ev.By
		if ev.Shared != nil {
			r.shared = ev.Shared
		}
		held = r.Config()
		r.holds()
		if ev.By != "" {
			r.emit(Log{Text: fmt.Sprintf("configuration %d taken from %s", ev.Config.No, ev.By)})
		}
	}
	r.emit(held)
	if r.fleet != nil {
		r.says.Config = r.audited.Config
		r.saysOfItself()
		r.fleetMoved(true)
	}
}

// Config is the configuration in force.
func (r *Reducer) Config() ConfigHeld {
	return ConfigHeld{Config: r.audited.Config, Shared: r.shared, By: r.sharedBy}
}

// refusal tells why a configuration may not be acted on; empty where it may.
func (r *Reducer) refusal(ev AuditConfigured) string {
	held := r.audited.Config
	switch {
	case held.Source != ev.Config.Source:
		if ev.By != "" {
			return fmt.Sprintf("%q, not %q, is the source of configurations here", held.Source, ev.Config.Source)
		}
	case ev.Config.No < held.No && !altered.Is("takes an older configuration"):
		return fmt.Sprintf("configuration %d is older than %d, which is in force", ev.Config.No, held.No)
	case ev.Config.No == held.No && ev.Config.Digest != held.Digest && held.No > 0:
		return fmt.Sprintf("configuration %d is in force with other contents; state a higher number", held.No)
	case ev.Config.No == held.No:
		return ""
	}
	if r.fleet != nil {
		if other, twofold := r.fleet.ConflictingMember(membership.KindConfig, ev.Config); twofold {
			return fmt.Sprintf("configuration %d has two contents: one was told here, another is at %s", ev.Config.No, other)
		}
	}
	return ""
}

// reconfigure has the decision module go on under other settings, with all that it remembers, as after a hand-over. Danger: a class that is
// gone while requests of it are open would leave them without an end, so such settings are refused until none is.
func (r *Reducer) reconfigure(s choice.Settings) error {
	classes, tenants := map[string]int{}, map[string]int{}
	for i, c := range s.Classes {
		classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		tenants[t.Name] = i
	}
	for id, q := range r.requests {
		if _, known := classes[q.call.Class]; !known {
			return fmt.Errorf("%q, a request of class %q, is open, and the new settings do not name it", id, q.call.Class)
		}
	}
	st, err := r.decider.Export()
	if err != nil {
		return err
	}
	under := s
	under.TellsTaken = true // as BranchTaken
	if r.acting > 0 {
		under.Dispatchers = r.acting
	}
	d, err := choice.Restore(under, host{r}, st)
	if err != nil {
		return err
	}
	r.settings, r.classes, r.tenants, r.decider = s, classes, tenants, d
	return nil
}

// bringUp asks a member that acts on a newer configuration for it: one of those with the highest number that all who hold it hold alike.
func (r *Reducer) bringUp() {
	held := r.audited.Config
	if r.recorder == nil || !r.bringsUp || r.now < r.fetchAt {
		return
	}
	type candidate struct {
		of      []membership.Record
		twofold bool
	}
	newer := map[int64]*candidate{}
	best := int64(-1)
	for _, m := range r.fleet.Records() {
		if m.Config.Source != held.Source || m.Config.No <= held.No || m.Departed() {
			continue
		}
		c := newer[m.Config.No]
		if c == nil {
			c = &candidate{}
			newer[m.Config.No] = c
		}
		c.twofold = c.twofold || len(c.of) > 0 && c.of[0].Config.Digest != m.Config.Digest
		c.of = append(c.of, m)
	}
	for no, c := range newer {
		if !c.twofold && no > best {
			best = no
		}
	}
	if best < 0 {
		return
	}
	var reached []membership.Record
	for _, m := range newer[best].of {
		if m.Live() {
			reached = append(reached, m)
		}
	}
	if len(reached) == 0 {
		return
	}
	r.fetches++
	r.fetchAt = r.now + fetchEvery
	// Danger: all stragglers would begin with the same one, so each begins at a place of its own.
	ask := reached[(r.fetches+r.auditNo)%uint64(len(reached))]
	r.emit(FetchConfig{Process: ask.Process, Member: ask.Name, Config: ask.Config})
}

// Shared is the shared part of the configuration in force as text, and its version; false where none is known.
func (s State) Shared() (text []byte, v membership.Version, known bool) {
	if s.Audit == nil || len(s.Audit.Shared) == 0 {
		return nil, membership.Version{}, false
	}
	return s.Audit.Shared, s.Audit.Held.Config, true
}
