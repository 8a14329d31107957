package workerconn

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// State is the state of a sender that is handed over to another process.
type State struct {
	Unsent   []core.SendBranch // no byte was written; they are sent again
	Dropped  []core.BranchID   // cancelled before a byte was written, and not reported yet
	Sent     []SentState
	GivingUp []CancellationState
	Idle     []IdleState
	Bands    []BandState
}

// LinkState is a connection to a worker.
type LinkState struct {
	_    struct{} `cbor:",toarray"`
	File int      // index of its descriptor in the handed-over files
	Addr string
	Conn hold.ConnState
	Age  float64 // seconds that it was idle before its current use; 0 for a new connection
}

// SentState is a branch whose request was written at least in part. Its message is left out.
type SentState struct {
	_      struct{} `cbor:",toarray"`
	Branch core.SendBranch
	Link   LinkState
}

// CancellationState is a cancellation in progress. Without a connection it is started again.
type CancellationState struct {
	What core.GiveUpBranch
	Link *LinkState `cbor:",omitempty"`
}

// IdleState is an idle connection.
type IdleState struct {
	_       struct{} `cbor:",toarray"`
	Link    LinkState
	IdleFor float64 // seconds
}

// BandState holds the counts of an idleBand. Ago is in seconds.
type BandState struct {
	_                 struct{} `cbor:",toarray"`
	Tries, Broke, Ago float64
}

// exportLink returns the state of a connection and adds its descriptor to files.
func exportLink(c *conn, files *hold.Files) (LinkState, error) {
	file, err := files.Add(c)
	return LinkState{File: file, Addr: c.addr, Conn: c.Conn.Export(), Age: c.idleTime.Seconds()}, err
}

// Export returns the state of all branches and connections, and adds their descriptors to files. The gate must be held.
func (s *Sender) Export(files *hold.Files) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st State
	for _, id := range slices.Sorted(maps.Keys(s.exchanges)) {
		switch x := s.exchanges[id]; {
		case x.conn != nil && !x.conn.WriteNotStarted():
			link, err := exportLink(x.conn, files)
			if err != nil {
				return st, fmt.Errorf("workerconn: branch %d: %w", id, err)
			}
			sent := x.branch
			sent.Message = core.Message{}
			st.Sent = append(st.Sent, SentState{Branch: sent, Link: link})
		case x.cancelled:
			st.Dropped = append(st.Dropped, id)
		default:
			st.Unsent = append(st.Unsent, x.branch)
		}
	}
	for _, g := range s.cancellations {
		state := CancellationState{What: g.request}
		if g.conn != nil {
			if link, err := exportLink(g.conn, files); err == nil {
				state.Link = &link
			}
		}
		st.GivingUp = append(st.GivingUp, state)
	}
	slices.SortFunc(st.GivingUp, func(a, b CancellationState) int { return cmp.Compare(a.What.Branch, b.What.Branch) })
	s.pool.export(&st, files)
	return st, nil
}

// export adds the idle connections and the counts of the bands to a state.
func (p *pool) export(st *State, files *hold.Files) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range slices.Sorted(maps.Keys(p.idle)) {
		for _, c := range p.idle[addr] {
			if link, err := exportLink(c, files); err == nil {
				st.Idle = append(st.Idle, IdleState{Link: link, IdleFor: time.Since(c.idleSince).Seconds()})
			}
		}
	}
	for _, b := range p.bands {
		st.Bands = append(st.Bands, BandState{Tries: b.tries, Broke: b.breaks, Ago: time.Since(b.updatedAt).Seconds()})
	}
}

// Import adds the branches and connections of a state. The gate must be held; they continue when it is released. An
// error means that a descriptor is missing or invalid.
func (s *Sender) Import(st State, files *hold.Received) error {
	take := func(l LinkState) (*conn, error) {
		hc, err := files.Conn(l.File, l.Conn)
		if err != nil {
			return nil, fmt.Errorf("workerconn: connection to %s: %w", l.Addr, err)
		}
		c := newConn(hc, l.Addr)
		c.idleTime = seconds(l.Age)
		s.pool.mu.Lock()
		s.pool.open++
		s.pool.mu.Unlock()
		return c, nil
	}
	for i, b := range st.Bands {
		if i < bandCount {
			s.pool.bands[i] = idleBand{tries: b.Tries, breaks: b.Broke, updatedAt: time.Now().Add(-seconds(b.Ago))}
		}
	}
	for _, i := range st.Idle {
		c, err := take(i.Link)
		if err != nil {
			return err
		}
		c.idleTime, c.idleSince = 0, time.Now().Add(-seconds(i.IdleFor))
		s.pool.idle[c.addr] = append(s.pool.idle[c.addr], c)
	}
	for _, g := range st.GivingUp {
		if g.Link == nil {
			s.mu.Lock()
			s.startCancellation(g.What)
			s.mu.Unlock()
			continue
		}
		c, err := take(*g.Link)
		if err != nil {
			return err
		}
		x := &cancellation{request: g.What, conn: c}
		s.cancellations[job{g.What.Addr, g.What.Request}] = x
		rest := g.Link.Conn.Rest
		s.gate.Go(func() {
			s.gate.Rest()
			s.cancelSlots <- struct{}{}
			s.gate.Wake()
			s.runCancellation(x, s.resumeCancellation(x, c, rest))
		})
	}
	for _, b := range st.Sent {
		c, err := take(b.Link)
		if err != nil {
			return err
		}
		_, cancel := context.WithCancel(context.Background())
		x := &exchange{addr: b.Branch.Addr, cancel: cancel, conn: c, written: true, branch: b.Branch}
		s.exchanges[b.Branch.Branch] = x
		s.gate.Go(func() {
			defer cancel()
			s.runAndReport(x, func() (core.Fault, bool) { return s.resume(x, b.Link.Conn.Rest) })
		})
	}
	for _, id := range st.Dropped {
		s.gate.Go(func() { s.post(core.BranchFailed{Branch: id, Fault: core.NotSent}) })
	}
	for _, b := range st.Unsent {
		s.Send(b)
	}
	return nil
}

// resume continues an imported exchange: it writes the rest of the request and reads the response.
func (s *Sender) resume(x *exchange, rest []byte) (core.Fault, bool) {
	if len(rest) > 0 {
		if err := x.conn.send(rest, nil); err != nil {
			return s.writeFailed(x, err), true
		}
		s.sent.Add(1)
	}
	return s.readAnswer(x)
}

// resumeCancellation continues an imported cancellation: it writes the rest of the DELETE and reads the response.
func (s *Sender) resumeCancellation(x *cancellation, c *conn, rest []byte) error {
	if len(rest) > 0 {
		if err := c.send(rest, nil); err != nil {
			s.setCancellationConn(x, nil)
			s.pool.discard(c)
			return err
		}
	}
	return s.readDeleteAnswer(x, c)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
