package clientconn

import (
	"fmt"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// State is the state of a server that is handed over to another process. The gate must be held while it is taken.
type State struct {
	LastExchange core.ExchangeID `cbor:"LastLeg"`
	Conns        []ConnState
}

// ConnState is one open connection, in any phase of its current request.
type ConnState struct {
	_         struct{} `cbor:",toarray"`
	File      int      // index of its descriptor in the handed-over files
	Conn      hold.ConnState
	Phase     uint8
	Proven    bool
	Later     bool
	Continued bool
	Old       bool
	Ends      bool
	Held      float64 // seconds since conn.since
	Exchange  core.ExchangeID
	Side      uint8
	Class     string // class of the job that waits for its answer; empty for none
}

// Export returns the state of all connections, and adds their descriptors to files. The gate must be held.
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
		if c.isClosing() {
			continue // its input is no longer processed, neither here nor by the other process
		}
		file, err := files.Add(c)
		if err != nil {
			continue // it was closed, and its goroutine will notice
		}
		class := ""
		if x := s.exchanges[c.exchange]; x != nil {
			class = x.class
		}
		st.Conns = append(st.Conns, ConnState{Side: uint8(c.peerKind), Class: class, File: file, Conn: c.Conn.Export(), Phase: uint8(c.phase), Proven: c.validated,
			Later: c.answeredBefore, Continued: c.continued, Old: c.http10, Ends: c.closeAfter, Held: time.Since(c.since).Seconds(), Exchange: c.exchange})
	}
	return st, nil
}

// Import adds the connections of a state. The gate must be held; they are served when it is released. An error means
// that the state is invalid or that a descriptor is missing.
func (s *Server) Import(st State, files *hold.Received) error {
	s.lastID.Store(uint64(st.LastExchange))
	for i, x := range st.Conns {
		if phase(x.Phase) > phaseAnswering || peerKind(x.Side) > peerWorker || x.Exchange > st.LastExchange {
			return fmt.Errorf("clientconn: connection %d: phase %d, side %d, exchange %d of %d", i, x.Phase, x.Side, x.Exchange, st.LastExchange)
		}
		hc, err := files.Conn(x.File, x.Conn)
		if err != nil {
			return fmt.Errorf("clientconn: connection %d: %w", i, err)
		}
		c := &conn{Conn: hc, release: s.release, phase: phase(x.Phase), validated: x.Proven, answeredBefore: x.Later,
			continued: x.Continued, http10: x.Old, closeAfter: x.Ends, exchange: x.Exchange, peerKind: peerKind(x.Side),
			since: time.Now().Add(-time.Duration(x.Held * float64(time.Second)))}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if c.phase == phaseServing {
			s.exchanges[c.exchange] = &exchange{conn: c, class: x.Class}
		}
		s.mu.Unlock()
		s.gate.Go(func() { s.resume(c, x.Conn.Rest) })
	}
	return nil
}

// resume serves an imported connection from the phase that it was in.
func (s *Server) resume(c *conn, rest []byte) {
	defer c.Close()
	on := true
	switch c.phase {
	case phaseAnswering:
		on = s.finishAnswer(c, rest)
	case phaseServing:
		on = s.waitForAnswer(c)
	default:
		if len(rest) > 0 { // rest of a 100 Continue
			_, err := c.Write(rest)
			on = err == nil
		}
	}
	for on {
		on = s.serveNext(c)
	}
	c.linger()
}
