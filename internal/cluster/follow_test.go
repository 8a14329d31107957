package cluster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// newMonitoredStream runs cancelWhenStale for a stream from address "a". The context is that of the stream.
func newMonitoredStream(t *testing.T) (*Client, context.Context) {
	client := &Client{book: newAddressBook([]string{"a", "b"})}
	client.view.Store(newView())
	ctx, cancel := context.WithCancel(t.Context())
	stop := client.cancelWhenStale(ctx, cancel, "a")
	t.Cleanup(stop)
	return client, ctx
}

// A new leader sends the complete view to all processes at once, so a stream must not be reopened before its first
// frame is due.
func TestNewStreamGetsFirstFrameTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := newMonitoredStream(t)
		client.book.recordLeader("a", 2)
		time.Sleep(firstFrameTimeout - time.Millisecond)
		must.NoError(t, stream.Err())
		time.Sleep(2 * time.Millisecond)
		must.Error(t, stream.Err())
	})
}

func TestStreamWithCurrentEpochIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := newMonitoredStream(t)
		client.book.recordLeader("a", 2)
		current := newView()
		current.LeaderEpoch = 2
		client.view.Store(current)
		time.Sleep(time.Minute)
		must.NoError(t, stream.Err())
		client.book.recordLeader("a", 3)
		time.Sleep(time.Millisecond)
		must.Error(t, stream.Err())
	})
}

func TestStreamEndsWhenAnotherProcessLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := newMonitoredStream(t)
		client.book.recordLeader("b", 2)
		time.Sleep(time.Millisecond)
		must.Error(t, stream.Err())
	})
}

// nonLeaders are control processes that neither lead nor know a leader. They send the host of each request to
// requestedHosts.
type nonLeaders struct {
	requestedHosts chan string
}

// RoundTrip implements http.RoundTripper.
func (n nonLeaders) RoundTrip(request *http.Request) (*http.Response, error) {
	n.requestedHosts <- request.URL.Host
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), Request: request}, nil
}

// After a start without a leader, the stream must open as soon as a renewal finds one, not at the next periodic
// attempt.
func TestStreamStartsOnceRenewalFindsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		processes := nonLeaders{requestedHosts: make(chan string, 10)}
		client := &Client{book: newAddressBook([]string{"a", "b", "c"}), options: Options{Log: logr.Discard(), RoundTripper: processes}}
		client.view.Store(newView())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client.run(ctx, client.followLoop)
		must.Eq(t, "a", <-processes.requestedHosts)
		synctest.Wait()
		begun := time.Now()
		client.book.recordLeader("c", 1)
		must.Eq(t, "c", <-processes.requestedHosts)
		must.Eq(t, 0, time.Since(begun))
		must.Eq(t, "a", <-processes.requestedHosts)
		must.Eq(t, noCandidateDelay, time.Since(begun))
		cancel()
		client.Wait()
	})
}
