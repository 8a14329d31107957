package clientconn

import (
	"fmt"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// State is what a held server's successor needs to go on with its connections.
type State struct {
	LastExchange core.ExchangeID `cbor:"LastLeg"`
	Conns        []ConnState
}

// ConnState is one connection, however far it has come with its current request.
type ConnState struct {
	_         struct{} `cbor:",toarray"`
	File      int      // place of its descriptor
	Conn      hold.ConnState
	Phase     uint8
	Proven    bool
	Later     bool
	Continued bool
	Old       bool
	Ends      bool
	Held      float64 // seconds since `since`
	Exchange  core.ExchangeID
	Side      uint8
	Class     string // of the job that waits for its answer
}

// Export tells how far all connections have come. The gate must be held.
func (s *Server) Export(files *hold.Files) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{LastExchange: core.ExchangeID(s.lastID.Load())}
	all := make([]*conn, 0, len(s.conns)+1)
	for c := range s.conns {
		all = append(all, c)
	}
	if s.pending != nil {
		all = append(all, s.pending)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.since.Compare(b.since) })
	for _, c := range all {
		if c.lingers() {
			continue // nothing that comes on it is taken, here or elsewhere
		}
		file, err := files.Add(c)
		if err != nil {
			continue // it was closed, and its goroutine will find that
		}
		class := ""
		if l := s.exchanges[c.exchange]; l != nil {
			class = l.class
		}
		st.Conns = append(st.Conns, ConnState{Side: uint8(c.side), Class: class, File: file, Conn: c.Conn.Export(), Phase: uint8(c.phase), Proven: c.proven,
			Later: c.later, Continued: c.continued, Old: c.old, Ends: c.ends, Held: time.Since(c.since).Seconds(), Exchange: c.exchange})
	}
	return st, nil
}

// Import takes connections up. The gate must be held; they go on when it is let go.
func (s *Server) Import(st State, files *hold.Received) error {
	s.lastID.Store(uint64(st.LastExchange))
	for i, x := range st.Conns {
		if phase(x.Phase) > answering || side(x.Side) > ofWorkers || x.Exchange > st.LastExchange {
			return fmt.Errorf("clientconn: connection %d: phase %d, side %d, exchange %d of %d", i, x.Phase, x.Side, x.Exchange, st.LastExchange)
		}
		hc, err := files.Conn(x.File, x.Conn)
		if err != nil {
			return fmt.Errorf("clientconn: connection %d: %w", i, err)
		}
		c := &conn{Conn: hc, release: s.release, phase: phase(x.Phase), proven: x.Proven, later: x.Later,
			continued: x.Continued, old: x.Old, ends: x.Ends, exchange: x.Exchange, side: side(x.Side),
			since: time.Now().Add(-time.Duration(x.Held * float64(time.Second)))}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if c.phase == serving {
			s.exchanges[c.exchange] = &exchange{conn: c, class: x.Class}
		}
		s.mu.Unlock()
		s.gate.Go(func() { s.goOn(c, x.Conn.Rest) })
	}
	return nil
}

// goOn serves a connection that was taken up, from where it stood.
func (s *Server) goOn(c *conn, rest []byte) {
	defer c.Close()
	on := true
	switch c.phase {
	case answering:
		on = s.finish(c, rest)
	case serving:
		on = s.waitForAnswer(c)
	default:
		if len(rest) > 0 { // of a 100 Continue
			_, err := c.Write(rest)
			on = err == nil
		}
	}
	for on {
		on = s.next(c)
	}
	c.linger()
}
