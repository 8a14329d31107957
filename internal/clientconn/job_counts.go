package clientconn

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Tally counts the ended jobs of a class in this process by the result that their callers received.
type Tally struct{ Served, Refused, Failed uint64 }

type tally struct{ served, refused, failed atomic.Uint64 }

// CountClasses sets the classes whose jobs are counted, starting at 0. It must be called before the server serves.
func (s *Server) CountClasses(classes []string) {
	s.tallies = make(map[string]*tally, len(classes))
	for _, c := range classes {
		s.tallies[c] = &tally{}
	}
}

// Tallies returns the counts by class.
func (s *Server) Tallies() map[string]Tally {
	all := make(map[string]Tally, len(s.tallies))
	for c, t := range s.tallies {
		all[c] = Tally{t.served.Load(), t.refused.Load(), t.failed.Load()}
	}
	return all
}

// InFlight returns the number of accepted jobs that have no answer yet.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, x := range s.exchanges {
		if x.class != "" {
			n++
		}
	}
	return n
}

// countJob records a job's result, by the HTTP status of its response. It must be called once for each job.
func (s *Server) countJob(class string, status int) {
	t := s.tallies[class]
	switch {
	case t == nil: // the settings name no such class
	case status == fasthttp.StatusOK:
		t.served.Add(1)
	case status == fasthttp.StatusServiceUnavailable:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}
