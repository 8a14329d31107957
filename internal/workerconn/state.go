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

// State is what a held sender's successor needs to go on with its branches and connections.
type State struct {
	Unsent   []core.SendBranch // no byte of them was written; they are sent anew
	Dropped  []core.BranchID   // called off before a byte was written, and not reported yet
	Sent     []SentState
	GivingUp []CancellationState
	Idle     []IdleState
	Bands    []BandState
}

// LinkState is a connection to a worker.
type LinkState struct {
	_    struct{} `cbor:",toarray"`
	File int      // place of its descriptor
	Addr string
	Conn hold.ConnState
	Age  float64 // seconds that it had been idle for when it was taken; 0 for a new one
}

// SentState is a branch whose request was written, or part of it. Its message is not in it.
type SentState struct {
	_      struct{} `cbor:",toarray"`
	Branch core.SendBranch
	Link   LinkState
}

// CancellationState is a giving up. Where it has no connection yet it is begun anew.
type CancellationState struct {
	What core.GiveUpBranch
	Link *LinkState `cbor:",omitempty"`
}

// IdleState is a kept connection.
type IdleState struct {
	_       struct{} `cbor:",toarray"`
	Link    LinkState
	IdleFor float64 // seconds
}

// BandState is the record of kept connections that were idle for about equally long.
type BandState struct {
	_                 struct{} `cbor:",toarray"`
	Tries, Broke, Ago float64
}

func linkOf(c *conn, files *hold.Files) (LinkState, error) {
	file, err := files.Add(c)
	return LinkState{File: file, Addr: c.addr, Conn: c.Conn.Export(), Age: c.age.Seconds()}, err
}

// Export tells how far all branches have come. The gate must be held.
func (s *Sender) Export(files *hold.Files) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st State
	for _, id := range slices.Sorted(maps.Keys(s.exchanges)) {
		switch x := s.exchanges[id]; {
		case x.conn != nil && !x.conn.WriteNotStarted():
			l, err := linkOf(x.conn, files)
			if err != nil {
				return st, fmt.Errorf("workerconn: branch %d: %w", id, err)
			}
			sent := x.branch
			sent.Message = core.Message{}
			st.Sent = append(st.Sent, SentState{Branch: sent, Link: l})
		case x.over:
			st.Dropped = append(st.Dropped, id)
		default:
			st.Unsent = append(st.Unsent, x.branch)
		}
	}
	for _, g := range s.givingUp {
		one := CancellationState{What: g.what}
		if g.conn != nil {
			if l, err := linkOf(g.conn, files); err == nil {
				one.Link = &l
			}
		}
		st.GivingUp = append(st.GivingUp, one)
	}
	slices.SortFunc(st.GivingUp, func(a, b CancellationState) int { return cmp.Compare(a.What.Branch, b.What.Branch) })
	s.pool.export(&st, files)
	return st, nil
}

func (p *pool) export(st *State, files *hold.Files) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range slices.Sorted(maps.Keys(p.idle)) {
		for _, c := range p.idle[addr] {
			if l, err := linkOf(c, files); err == nil {
				st.Idle = append(st.Idle, IdleState{Link: l, IdleFor: time.Since(c.since).Seconds()})
			}
		}
	}
	for _, b := range p.bands {
		st.Bands = append(st.Bands, BandState{Tries: b.tries, Broke: b.broke, Ago: time.Since(b.at).Seconds()})
	}
}

// Import takes branches and connections up. The gate must be held; they go on when it is let go.
func (s *Sender) Import(st State, files *hold.Received) error {
	take := func(l LinkState) (*conn, error) {
		hc, err := files.Conn(l.File, l.Conn)
		if err != nil {
			return nil, fmt.Errorf("workerconn: connection to %s: %w", l.Addr, err)
		}
		c := newConn(hc, l.Addr)
		c.age = seconds(l.Age)
		s.pool.mu.Lock()
		s.pool.open++
		s.pool.mu.Unlock()
		return c, nil
	}
	for i, b := range st.Bands {
		if i < ageBands {
			s.pool.bands[i] = band{tries: b.Tries, broke: b.Broke, at: time.Now().Add(-seconds(b.Ago))}
		}
	}
	for _, i := range st.Idle {
		c, err := take(i.Link)
		if err != nil {
			return err
		}
		c.age, c.since = 0, time.Now().Add(-seconds(i.IdleFor))
		s.pool.idle[c.addr] = append(s.pool.idle[c.addr], c)
	}
	for _, g := range st.GivingUp {
		if g.Link == nil {
			s.mu.Lock()
			s.tell(g.What)
			s.mu.Unlock()
			continue
		}
		c, err := take(*g.Link)
		if err != nil {
			return err
		}
		x := &giving{what: g.What, conn: c}
		s.givingUp[job{g.What.Addr, g.What.Request}] = x
		rest := g.Link.Conn.Rest
		s.gate.Go(func() {
			s.gate.Rest()
			s.slots <- struct{}{}
			s.gate.Wake()
			s.giveUp(x, s.finishTelling(x, c, rest))
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
			s.report(x, func() (core.Fault, bool) { return s.goOn(x, b.Link.Conn.Rest) })
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

// goOn carries on an exchange that was taken up, from where it stood.
func (s *Sender) goOn(x *exchange, rest []byte) (core.Fault, bool) {
	if len(rest) > 0 {
		if err := x.conn.send(rest, nil); err != nil {
			return s.unwritten(x, err), true
		}
		s.sent.Add(1)
	}
	return s.hear(x)
}

func (s *Sender) finishTelling(x *giving, c *conn, rest []byte) error {
	if len(rest) > 0 {
		if err := c.send(rest, nil); err != nil {
			s.holds(x, nil)
			s.pool.discard(c)
			return err
		}
	}
	return s.confirmed(x, c)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
