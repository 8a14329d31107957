package upgrade

import (
	"fmt"
	"time"
)

// Progress is what those who watch an upgrade are told.
type Progress struct {
	At             time.Time `json:"at"`
	Step           string    `json:"step"`
	Detail         string    `json:"detail,omitempty"`
	Final          bool      `json:"final,omitempty"`
	Result         string    `json:"result,omitempty"` // of the final one: replaced, fell back, refused
	PID            int       `json:"pid,omitempty"`    // of the new process
	Files          int       `json:"descriptors,omitempty"`
	FilesWhileHeld int       `json:"descriptors_held,omitempty"` // of those, passed on while everything was held
	Bytes          int       `json:"bytes,omitempty"`            // of the first snapshot
	HeldMS         float64   `json:"held_ms,omitempty"`          // from the beginning of the hold to this moment
	Held           HoldTimes `json:"held_parts,omitzero"`
}

// Times are the parts of a hold, in milliseconds.
type HoldTimes struct {
	Quiesce  float64 `json:"rest_ms"` // until everything was at rest
	Pack     float64 `json:"pack_ms"` // writing everything down
	Send     float64 `json:"send_ms"` // until the last descriptor was taken
	Takeover float64 `json:"take_ms"` // until the new process acted
}

func (t HoldTimes) String() string {
	return fmt.Sprintf("%.1f+%.1f+%.1f+%.1f", t.Quiesce, t.Pack, t.Send, t.Takeover)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// The results of an upgrade.
const (
	Replaced = "replaced"
	FellBack = "fell back"
	Refusal  = "refused"
)

// Upgrade asks for an upgrade, and has its progress told until the final word. Where another one is under way, that
// final word comes at once.
func (g *HandoverSender) Upgrade(tell func(Progress)) {
	c := make(chan Progress, 64)
	g.mu.Lock()
	g.watchers[c] = struct{}{}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.watchers, c)
		g.mu.Unlock()
	}()
	g.inputs <- Begin{Requester: c}
	for p := range c {
		tell(p)
		if p.Final {
			return
		}
	}
}

// Last tells how the last upgrade that this process began has ended.
func (g *HandoverSender) LastResult() Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

func (g *HandoverSender) tell(p Progress) {
	p.At = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Final {
		g.last = p
	}
	for c := range g.watchers {
		select {
		case c <- p:
		default: // danger: one who does not read must not hold up an upgrade
			if p.Final {
				close(c)
				delete(g.watchers, c)
			}
		}
	}
}
