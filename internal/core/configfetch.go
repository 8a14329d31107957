package core

import (
	"fmt"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// A member with an outdated configuration sees in the fleet view that others have a newer one in force, and requests its
// shared part from one of them. docs/audit-design.md lists what is passed on and what is not.

// MaxSharedBytes bounds the text of a configuration's shared part, in bytes.
const MaxSharedBytes = 64 << 10

// configFetchIntervalS is the time between two requests for a configuration.
const configFetchIntervalS = 1.0

// AuditConfigured asks for another configuration to be put in force, from the local file or from a peer. The answer is
// ConfigHeld.
type AuditConfigured struct {
	Config   membership.Version
	Settings *choice.Settings `cbor:",omitempty"` // nil if unchanged
	Shared   []byte           `cbor:",omitempty"` // the shared part as text
	By       string           `cbor:",omitempty"` // the member it came from; empty for the local file
}

// ConfigHeld reports the configuration in force, after AuditConfigured or a start.
type ConfigHeld struct {
	Config membership.Version
	Shared []byte
	By     string // the member it came from; empty for the local file
	Fault  string // why the requested configuration was refused; empty if it is in force
}

// FetchConfig requests from a member the configuration that it has in force.
type FetchConfig struct {
	Process uint64             // of the member to ask
	Member  string             // its name
	Config  membership.Version // the version it reports
}

func (AuditConfigured) event() {}
func (ConfigHeld) effect()     {}
func (FetchConfig) effect()    {}

// applyConfig puts another configuration in force, completely or not at all.
func (r *Reducer) applyConfig(ev AuditConfigured) {
	current := r.Config()
	if current.Fault = r.configRefusal(ev); current.Fault == "" && ev.Settings != nil && ev.Config.Digest != current.Config.Digest {
		if err := r.reconfigure(*ev.Settings); err != nil {
			current.Fault = err.Error()
		}
	}
	if current.Fault == "" {
		r.heldVersions.Config, r.sharedConfigFrom = ev.Config, ev.By
		if ev.Shared != nil {
			r.sharedConfig = ev.Shared
		}
		current = r.Config()
		r.recordHeldVersions()
		if ev.By != "" {
			r.emit(Log{Text: fmt.Sprintf("configuration %d taken from %s", ev.Config.No, ev.By)})
		}
	}
	r.emit(current)
	if r.fleet != nil {
		r.ownVersions.Config = r.heldVersions.Config
		r.updateOwnRecord()
		r.fleetUpdated(true)
	}
}

// Config returns the configuration in force.
func (r *Reducer) Config() ConfigHeld {
	return ConfigHeld{Config: r.heldVersions.Config, Shared: r.sharedConfig, By: r.sharedConfigFrom}
}

// configRefusal returns the reason why a configuration must not be put in force; empty if it may be.
func (r *Reducer) configRefusal(ev AuditConfigured) string {
	current := r.heldVersions.Config
	switch {
	case current.Source != ev.Config.Source:
		if ev.By != "" {
			return fmt.Sprintf("%q, not %q, is the source of configurations here", current.Source, ev.Config.Source)
		}
	case ev.Config.No < current.No && !altered.Is("takes an older configuration"):
		return fmt.Sprintf("configuration %d is older than %d, which is in force", ev.Config.No, current.No)
	case ev.Config.No == current.No && ev.Config.Digest != current.Digest && current.No > 0:
		return fmt.Sprintf("configuration %d is in force with other contents; state a higher number", current.No)
	case ev.Config.No == current.No:
		return ""
	}
	if r.fleet != nil {
		if other, conflict := r.fleet.ConflictingMember(membership.KindConfig, ev.Config); conflict {
			return fmt.Sprintf("configuration %d has two contents: one was told here, another is at %s", ev.Config.No, other)
		}
	}
	return ""
}

// reconfigure gives the decision module new settings and keeps its state, as in a handover. Settings that lack the class of
// an open request are refused, because that request would never be ended.
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
	moduleSettings := s
	moduleSettings.TellsTaken = true // the connections to workers report it, as BranchTaken
	if r.actingMembers > 0 {
		moduleSettings.Dispatchers = r.actingMembers
	}
	d, err := choice.Restore(moduleSettings, host{r}, st)
	if err != nil {
		return err
	}
	r.settings, r.classes, r.tenants, r.decider = s, classes, tenants, d
	return nil
}

// fetchNewerConfig requests a newer configuration from a live member that has it in force. It selects the highest version
// for which all members that hold it report the same contents.
func (r *Reducer) fetchNewerConfig() {
	held := r.heldVersions.Config
	if r.recorder == nil || !r.fetchesConfigs || r.now < r.nextConfigFetchAt {
		return
	}
	type candidate struct {
		holders     []membership.Record
		conflicting bool
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
		c.conflicting = c.conflicting || len(c.holders) > 0 && c.holders[0].Config.Digest != m.Config.Digest
		c.holders = append(c.holders, m)
	}
	for no, c := range newer {
		if !c.conflicting && no > best {
			best = no
		}
	}
	if best < 0 {
		return
	}
	var reached []membership.Record
	for _, m := range newer[best].holders {
		if m.Live() {
			reached = append(reached, m)
		}
	}
	if len(reached) == 0 {
		return
	}
	r.peerRequests++
	r.nextConfigFetchAt = r.now + configFetchIntervalS
	// Each process starts at a different member, so that outdated members do not all ask the same one.
	chosen := reached[(r.peerRequests+r.auditProcess)%uint64(len(reached))]
	r.emit(FetchConfig{Process: chosen.Process, Member: chosen.Name, Config: chosen.Config})
}

// Shared returns the shared part of the configuration in force as text, with its version; false if it is unknown.
func (s State) Shared() (text []byte, v membership.Version, known bool) {
	if s.Audit == nil || len(s.Audit.Shared) == 0 {
		return nil, membership.Version{}, false
	}
	return s.Audit.Shared, s.Audit.Held.Config, true
}
