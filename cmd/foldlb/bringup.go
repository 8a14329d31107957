package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
	"foldlb.example/foldlb/internal/snapshot"
)

// takenFile is where a configuration that a peer told is kept, beside the record.
const takenFile = "configuration"

// source is what configurations' numbers are of.
func (s *setup) source() string {
	if f := s.operator.Fleet; f != nil {
		return f.Name
	}
	return ""
}

// goOn has the process act on a configuration that was in force before it, where that is newer than what its own file states.
func (s *setup) goOn(held core.ConfigHeld) error {
	a := s.operator.Audit
	if a == nil || held.Config.Source != s.source() || held.Config.No <= a.ConfigVersion {
		return nil
	}
	cfg, err := s.cfg.WithShared(held.Shared)
	if err != nil {
		return err
	}
	if got := configured(cfg).Digest; got != held.Config.Digest {
		return fmt.Errorf("configuration %d: its text has the digest %016x, not %016x", held.Config.No, got, held.Config.Digest)
	}
	s.cfg, s.ahead = cfg, &held
	s.log.WithField("configuration", held.Config.No).WithField("stated", a.ConfigVersion).WithField("by", held.By).
		Warn("the operator file states an older configuration than the one in force, which goes on")
	return nil
}

// under tells under which settings a process goes on with what another hands over.
func (s *setup) under(st core.State) (choice.Settings, error) {
	if text, v, known := st.Shared(); known {
		if err := s.goOn(core.ConfigHeld{Config: v, Shared: text, By: st.Audit.By}); err != nil {
			return s.cfg.Settings, err
		}
	}
	return s.cfg.Settings, nil
}

// readTaken reads the configuration that a peer told before this start.
func (s *setup) readTaken(folder string) error {
	text, err := os.ReadFile(filepath.Join(folder, takenFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var held core.ConfigHeld
	var body []byte
	if err == nil {
		body, err = snapshot.Open(text)
	}
	if err == nil {
		err = snapshot.Unmarshal(body, &held)
	}
	if err == nil {
		err = s.goOn(held)
	}
	return err
}

// keepTaken writes a configuration that a peer told, so that a start after this process acts on nothing older.
func keepTaken(folder string, held core.ConfigHeld) error {
	if folder == "" {
		return nil
	}
	body, err := snapshot.Marshal(held)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	return writeWhole(filepath.Join(folder, takenFile), string(snapshot.Seal(body)))
}

// bringer takes configurations in that peers tell, one at a time.
type bringer struct {
	busy    atomic.Bool
	refused atomic.Uint64
	mu      sync.Mutex // of the file
}

// brought takes a configuration that a peer told. It does not block. Danger: it is written down before it counts, or a process that is killed in
// between could not start again on its older file.
func (x *auditor) brought(held core.ConfigHeld) {
	if !x.bringer.busy.CompareAndSwap(false, true) {
		return // it is told again
	}
	go func() {
		defer x.bringer.busy.Store(false)
		cfg, err := x.n.cfg.WithShared(held.Shared)
		if err == nil && configured(cfg).Digest != held.Config.Digest {
			err = errors.New("its digest is not what the view says")
		}
		if err != nil {
			if n := x.bringer.refused.Add(1); n&(n-1) == 0 { // at 1, 2, 4, 8 ...
				x.n.log.WithError(err).WithField("member", held.By).WithField("count", n).Error("a peer's configuration is not taken")
			}
			return
		}
		x.bringer.mu.Lock()
		err = keepTaken(x.cfg.Folder, held)
		x.bringer.mu.Unlock()
		if err != nil {
			x.n.log.WithError(err).Error("a configuration that was told can't be written down; a start on an older file will be refused")
		}
		x.n.loop.Post(core.AuditConfigured{Config: held.Config, Settings: &cfg.Settings, Shared: held.Shared, By: held.By})
	}()
}

// holds takes in which configuration is in force. It does not block.
func (x *auditor) holds(now core.ConfigHeld) {
	held := &now
	x.held.Store(held)
	if now.Fault == "" {
		return
	}
	x.n.log.WithField("fault", now.Fault).Error("another configuration is not put in force")
	if x.cfg.Folder == "" {
		return
	}
	go func() { // what was told and refused is written down no more
		x.bringer.mu.Lock()
		defer x.bringer.mu.Unlock()
		var err error
		if x.held.Load() != held {
			return
		} else if now.By != "" {
			err = keepTaken(x.cfg.Folder, now)
		} else if err = os.Remove(filepath.Join(x.cfg.Folder, takenFile)); errors.Is(err, os.ErrNotExist) {
			err = nil
		}
		if err != nil {
			x.n.log.WithError(err).Error("audit")
		}
	}()
}

// configAnswer is what `foldlb audit config` is told.
type configAnswer struct {
	Config   membership.Version `json:"config"`
	By       string             `json:"by,omitempty"` // the member that told it; empty for the own file
	Stated   int64              `json:"stated"`       // by the own file, as it was read last
	Refused  uint64             `json:"refused"`      // of what peers told, since it could not be read or was not what the view says
	Settings json.RawMessage    `json:"settings"`     // shared by the members
}

// inForce words the configuration in force.
func (x *auditor) inForce() configAnswer {
	held := x.held.Load()
	a := configAnswer{Config: held.Config, By: held.By, Stated: x.stated.Load(), Refused: x.bringer.refused.Load(), Settings: held.Shared}
	if len(a.Settings) == 0 {
		a.Settings = json.RawMessage("null") // too large to pass on
	}
	return a
}
