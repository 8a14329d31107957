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

// watchedStream is a stream of the process at "a", with what ends it.
func watchedStream(t *testing.T) (*Client, context.Context) {
	client := &Client{book: newAddressBook([]string{"a", "b"})}
	client.view.Store(newView())
	ctx, cancel := context.WithCancel(t.Context())
	stop := client.cancelWhenMoved(ctx, cancel, "a")
	t.Cleanup(stop)
	return client, ctx
}

// A new leader sends the whole view to all processes at once: one that has not got its first frame yet is not to ask again.
func TestStreamThatIsNewIsGivenTimeForItsFirstFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := watchedStream(t)
		client.book.confirm("a", 2)
		time.Sleep(firstFrameWithin - time.Millisecond)
		must.NoError(t, stream.Err())
		time.Sleep(2 * time.Millisecond)
		must.Error(t, stream.Err())
	})
}

func TestStreamThatTellsOfTheEpochIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := watchedStream(t)
		client.book.confirm("a", 2)
		told := newView()
		told.LeaderEpoch = 2
		client.view.Store(told)
		time.Sleep(time.Minute)
		must.NoError(t, stream.Err())
		client.book.confirm("a", 3)
		time.Sleep(time.Millisecond)
		must.Error(t, stream.Err())
	})
}

func TestStreamOfAnotherThanTheLeaderEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stream := watchedStream(t)
		client.book.confirm("b", 2)
		time.Sleep(time.Millisecond)
		must.Error(t, stream.Err())
	})
}

// notLeading answers every request as a process that does not lead and knows nobody who does. It tells whom it was asked as.
type notLeading struct {
	asked chan string
}

// RoundTrip implements http.RoundTripper.
func (n notLeading) RoundTrip(request *http.Request) (*http.Response, error) {
	n.asked <- request.URL.Host
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), Request: request}, nil
}

// The first view after a start without a leader comes with it, not at the next try of a stream.
func TestStreamBeginsOnceARenewalFindsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		processes := notLeading{asked: make(chan string, 10)}
		client := &Client{book: newAddressBook([]string{"a", "b", "c"}), options: Options{Log: logr.Discard(), RoundTripper: processes}}
		client.view.Store(newView())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client.run(ctx, client.followLoop)
		must.Eq(t, "a", <-processes.asked)
		synctest.Wait()
		begun := time.Now()
		client.book.confirm("c", 1)
		must.Eq(t, "c", <-processes.asked)
		must.Eq(t, 0, time.Since(begun))
		must.Eq(t, "a", <-processes.asked)
		must.Eq(t, noCandidateDelay, time.Since(begun))
		cancel()
		client.Wait()
	})
}
