package clientconn

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Tally counts how jobs of a class ended in this process, as their answers say.
type Tally struct{ Served, Refused, Failed uint64 }

type tally struct{ served, refused, failed atomic.Uint64 }

// Count has the jobs of these classes counted, from the first one on. It is called before anything is served.
func (s *Server) CountClasses(classes []string) {
	s.tallies = make(map[string]*tally, len(classes))
	for _, c := range classes {
		s.tallies[c] = &tally{}
	}
}

// Tallies tells the counts of all classes.
func (s *Server) Tallies() map[string]Tally {
	all := make(map[string]Tally, len(s.tallies))
	for c, t := range s.tallies {
		all[c] = Tally{t.served.Load(), t.refused.Load(), t.failed.Load()}
	}
	return all
}

// InFlight counts the jobs that were taken and have no answer yet.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.exchanges {
		if l.class != "" {
			n++
		}
	}
	return n
}

// count enters how a job ended. It is called once for each, with the status that its caller is about to be told.
func (s *Server) count(class string, status int) {
	t := s.tallies[class]
	switch {
	case t == nil: // of no class that the settings name
	case status == fasthttp.StatusOK:
		t.served.Add(1)
	case status == fasthttp.StatusServiceUnavailable:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}
