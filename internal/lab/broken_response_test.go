package lab

import (
	"io"
	"net"
	"net/http"
	"testing"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// heard has a caller read a response on a kept connection, and returns the outcome in the ledger.
func heard(response string) Outcome {
	near, far := net.Pipe()
	go func() {
		io.WriteString(far, response)
		far.Close()
	}()
	defer near.Close()
	c := &callers{ledger: NewLedger()}
	c.ledger.asked("r", "class", c.begin)
	c.ledger.made("r", "body")
	l := newLink(near, "")
	l.kept = true
	c.answer(l, "r", false)
	return c.ledger.entries["r"].outcome
}

// TestCallersTakeNoBrokenResponse checks that a response that HTTP does not allow is a broken promise, not an answer and not a close that
// crossed the request.
func TestCallersTakeNoBrokenResponse(t *testing.T) {
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		if got := heard(broken.Apply(responsetest.Response(http.StatusOK, "body"))); got != Lost {
			t.Errorf("%s: %v", broken.Name, got)
		}
	}
	for _, sound := range responsetest.Sound() {
		if got := heard(sound.Apply(responsetest.Response(http.StatusOK, "body"))); got != Answered {
			t.Errorf("%s: %v", sound.Name, got)
		}
	}
}
