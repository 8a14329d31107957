package delivery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// playResponse submits a job to a worker that changes its response, on a new connection or on a reused one. It returns the outcome and how
// often the worker got the job.
func playResponse(t *testing.T, reused bool, status int, fields []string, change func(string) string) (Outcome, int64) {
	t.Helper()
	var exchanges atomic.Int64
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		if exchanges.Add(1) == 1 && reused {
			succeed(c, r)
			return
		}
		_, _ = io.WriteString(c, change(responseText(r.Header.Get(headerRequestID), status, fields...)))
		_ = c.(*net.TCPConn).CloseWrite() // a reader that waits for more gets its end
	})
	defer worker.close()
	e := startEngine(t, testConfig(), worker)
	defer e.Close()
	warmUpConn(t, e, reused)
	before := worker.requests.Load()
	outcome := await(t, submit(e, newJob()))
	return outcome, worker.requests.Load() - before
}

// TestBrokenResponsesProveNothing has a worker send responses that HTTP does not allow, with a content that would otherwise prove each of
// the outcomes. The outcome is unknown, and the job is not sent again.
func TestBrokenResponsesProveNothing(t *testing.T) {
	cases := append(responsetest.Broken(), responsetest.SpoiltBodies()...)
	for _, said := range []struct {
		status int
		field  string
	}{
		{http.StatusOK, headerStamp + ": " + testStamp},
		{http.StatusUnprocessableEntity, "X-Why: invalid"},
		{http.StatusInternalServerError, "X-Why: failed"},
		{http.StatusServiceUnavailable, headerNotExecuted + ": 1"},
	} {
		for _, broken := range cases {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, %s, reused %t", said.status, broken.Name, reused), func(t *testing.T) {
					outcome, sent := playResponse(t, reused, said.status, []string{said.field}, broken.Apply)
					must.Eq(t, Unknown, outcome.Kind)
					must.Eq(t, 1, sent)
				})
			}
		}
	}
}

// TestConnectionWithMoreThanItsResponseIsNotReused has a worker send bytes behind each response that are the beginning of none. The response
// counts, and the connection is not used again, also where the check has withheld all of those bytes.
func TestConnectionWithMoreThanItsResponseIsNotReused(t *testing.T) {
	for _, behind := range []string{"\n", "\r\n", "x"} {
		t.Run(fmt.Sprintf("%q", behind), func(t *testing.T) {
			worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, responseText(r.Header.Get(headerRequestID), http.StatusOK, headerStamp+": "+testStamp)+behind)
			})
			e := startEngine(t, testConfig(), worker)
			for range 2 {
				must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
			}
			must.Eq(t, 2, worker.connections.Load())
		})
	}
}

func TestUnusualResponsesAreTaken(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", sound.Name, reused), func(t *testing.T) {
				outcome, sent := playResponse(t, reused, http.StatusOK, []string{headerStamp + ": " + testStamp}, sound.Apply)
				must.Eq(t, Outcome{Kind: Succeeded, Stamp: testStamp}, outcome)
				must.Eq(t, 1, sent)
			})
		}
	}
}
