package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
