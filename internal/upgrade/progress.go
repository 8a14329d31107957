package upgrade

import (
	"fmt"
	"time"
)

// Progress is a notification to those who watch an upgrade.
type Progress struct {
	At             time.Time `json:"at"`
	Step           string    `json:"step"`             // name of the phase
	Detail         string    `json:"detail,omitempty"` // the reason of a fallback or refusal
	Final          bool      `json:"final,omitempty"`
	Result         string    `json:"result,omitempty"`           // of the final one: Replaced, FellBack or Refusal
	PID            int       `json:"pid,omitempty"`              // of the new process
	Files          int       `json:"descriptors,omitempty"`      // number of all descriptors sent
	FilesWhileHeld int       `json:"descriptors_held,omitempty"` // of those, sent while everything was held
	Bytes          int       `json:"bytes,omitempty"`            // size of the first snapshot
	HeldMS         float64   `json:"held_ms,omitempty"`          // from the beginning of the hold until the new process acted
	Held           HoldTimes `json:"held_parts,omitzero"`
}

// HoldTimes are the durations of the parts of a hold, in milliseconds.
type HoldTimes struct {
	Quiesce  float64 `json:"rest_ms"` // until everything was paused
	Pack     float64 `json:"pack_ms"` // encoding the state
	Send     float64 `json:"send_ms"` // until the last descriptor was acknowledged
	Takeover float64 `json:"take_ms"` // until the new process acted
}

func (t HoldTimes) String() string {
	return fmt.Sprintf("%.1f+%.1f+%.1f+%.1f", t.Quiesce, t.Pack, t.Send, t.Takeover)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// The results of an upgrade.
const (
	Replaced = "replaced"
	FellBack = "fell back"
	Refusal  = "refused"
)

// Upgrade requests an upgrade and calls notify with its progress, up to the final one. If another upgrade is in progress,
// the final progress reports at once that this one is refused.
func (s *HandoverSender) Upgrade(notify func(Progress)) {
	c := make(chan Progress, 64)
	s.mu.Lock()
	s.watchers[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, c)
		s.mu.Unlock()
	}()
	s.inputs <- Begin{Requester: c}
	for p := range c {
		notify(p)
		if p.Final {
			return
		}
	}
}

// LastResult returns the final progress of the last upgrade that this process began; the zero value if there was none.
func (s *HandoverSender) LastResult() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResult
}

func (s *HandoverSender) notifyWatchers(p Progress) {
	p.At = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Final {
		s.lastResult = p
	}
	for c := range s.watchers {
		select {
		case c <- p:
		default: // a watcher that does not read must not delay an upgrade
			if p.Final {
				close(c)
				delete(s.watchers, c)
			}
		}
	}
}
