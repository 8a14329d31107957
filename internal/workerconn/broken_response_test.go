package workerconn

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// responseOf is an ordinary response with this status and body.
func responseOf(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Turned-Away: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// respondOnce sends a response as it is and ends the worker's side, so that a reader that waits for more gets its end.
func (l *link) respondOnce(response string) {
	l.t.Helper()
	if _, err := io.WriteString(l, response); err != nil {
		l.t.Fatal(err)
	}
	l.Conn.(*net.TCPConn).CloseWrite()
}

// wantNoBreaks checks that no connection counts as broken while it was idle.
func wantNoBreaks(t *testing.T, s *Sender) {
	t.Helper()
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	for _, band := range s.pool.bands {
		if band.breaks > 0 {
			t.Errorf("the idle time was blamed: %+v", band)
		}
	}
}

// TestBrokenResponsesProveNothing has a worker send responses that HTTP does not allow, with statuses that would otherwise prove that the job
// was accepted, did not run, or failed. The job may have run, and the connection's idle time is not blamed for it.
func TestBrokenResponsesProveNothing(t *testing.T) {
	for _, status := range []string{"202 Accepted", "503 Busy", "404 Not Found", "500 Failed"} {
		for _, broken := range responsetest.Broken() {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reused %t", status, broken.Name, reused), func(t *testing.T) {
					p := listen(t)
					s, events := newTestSender(Options{IdleClose: time.Minute})
					var l *link
					if reused {
						l = p.acceptBranch(s, 1)
					}
					s.Send(branch(2, p.addr()))
					if !reused {
						l = p.accept()
					}
					l.request()
					l.respondOnce(broken.Apply(responseOf(status, "body")))
					wantFault(t, events, 2, core.BrokenAfterSend)
					wantNoBreaks(t, s)
				})
			}
		}
	}
}

// TestBrokenResponsesToCancellations has a worker answer each DELETE, the first on a reused connection, with a response that HTTP does not
// allow. It is sent again, and the cancellation does not count as delivered.
func TestBrokenResponsesToCancellations(t *testing.T) {
	for _, broken := range responsetest.Broken() {
		t.Run(broken.Name, func(t *testing.T) {
			p := listen(t)
			s, _ := newTestSender(Options{IdleClose: time.Minute})
			l := p.acceptBranch(s, 1)
			released := otherEventsOf(s)
			s.GiveUp(core.GiveUpBranch{Branch: 1, Request: "r", Worker: "s", Addr: p.addr()})
			for attempt := range maxCancelAttempts {
				if attempt > 0 {
					l = p.accept()
				}
				if got := l.request(); !strings.HasPrefix(got, "DELETE /jobs/r HTTP/1.1\r\n") {
					t.Fatalf("request %q", got)
				}
				l.respondOnce(broken.Apply(responseOf("200 OK", "body")))
			}
			wantEvent(t, released, core.BranchReleased{Branch: 1, Request: "r"})
			wantNoBreaks(t, s)
		})
	}
}

// TestConnectionWithMoreThanItsResponseIsNotReused has a worker send a line end behind its response, which the check withholds. The next branch
// goes over another connection.
func TestConnectionWithMoreThanItsResponseIsNotReused(t *testing.T) {
	p := listen(t)
	s, _ := newTestSender(Options{IdleClose: time.Minute})
	posted := otherEventsOf(s)
	s.Send(branch(1, p.addr()))
	l := p.accept()
	l.request()
	if _, err := io.WriteString(l, responseOf("202 Accepted", "")+"\n"); err != nil {
		t.Fatal(err)
	}
	wantEvent(t, posted, core.BranchTaken{Branch: 1})
	if _, err := l.r.ReadByte(); err == nil {
		t.Error("the connection was kept")
	}
	p.acceptBranch(s, 2)
}

// TestUnusualResponsesAreTaken checks that a job whose acceptance is unusual and valid counts as accepted.
func TestUnusualResponsesAreTaken(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			p := listen(t)
			s, events := newTestSender(Options{IdleClose: time.Minute})
			posted := otherEventsOf(s)
			s.Send(branch(1, p.addr()))
			l := p.accept()
			l.request()
			l.respondOnce(sound.Apply(responseOf("202 Accepted", "body")))
			wantEvent(t, posted, core.BranchTaken{Branch: 1})
			if len(events) > 0 {
				t.Errorf("event %+v", <-events)
			}
		})
	}
}
