package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testBytesPerSecond = 1 << 20
	longFrameBytes     = 50 << 10
	testSubscribers    = 200
	slackBytes         = 4 << 10 // allowance for headers and keep-alives within one window
)

// writeRecorder records the time and length of each write by a hub, in order.
type writeRecorder struct {
	mutex   sync.Mutex
	at      []time.Time
	lengths []int
}

// maxBytesWithin returns the maximum number of bytes written within any period of length window.
func (l *writeRecorder) maxBytesWithin(window time.Duration) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maxBytes, sum, first := 0, 0, 0
	for next, at := range l.at {
		sum += l.lengths[next]
		for l.at[first].Before(at.Add(-window)) {
			sum -= l.lengths[first]
			first++
		}
		maxBytes = max(maxBytes, sum)
	}
	return maxBytes
}

// recordingWriter is the response writer of one subscriber. It records writes and flushes.
type recordingWriter struct {
	log    *writeRecorder
	header http.Header
	at     []time.Time // of each flush
	bytes  int
	newest []byte // last part written
}

func (w *recordingWriter) Header() http.Header              { return w.header }
func (w *recordingWriter) WriteHeader(int)                  {}
func (w *recordingWriter) SetWriteDeadline(time.Time) error { return nil }
func (w *recordingWriter) Flush() {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	w.at = append(w.at, time.Now())
}
func (w *recordingWriter) Write(data []byte) (int, error) {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	w.log.at = append(w.log.at, time.Now())
	w.log.lengths = append(w.log.lengths, len(data))
	w.bytes += len(data)
	w.newest = data
	return len(data), nil
}

// received returns the time of each frame sent to the subscriber, their total length in bytes, and the last part.
func (w *recordingWriter) received() (at []time.Time, bytes int, newest []byte) {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	return slices.Clone(w.at), w.bytes, w.newest
}

func (w *recordingWriter) lastPart() []byte {
	_, _, newest := w.received()
	return newest
}

// newLimitedHub returns a hub with a rate limit that has published a header and a long part.
func newLimitedHub() *Hub {
	hub := NewHub(2, 10*testSubscribers)
	hub.LimitRate(testBytesPerSecond)
	hub.Publish(Part{Index: 0, Data: []byte("header")}, Part{Index: 1, Data: make([]byte, longFrameBytes)})
	return hub
}

// subscribe serves a new subscriber of the hub until the context ends.
func (l *writeRecorder) subscribe(ctx context.Context, hub *Hub) *recordingWriter {
	return l.subscribeWith(ctx, hub, Subscription{})
}

// subscribeWith is subscribe with a subscription.
func (l *writeRecorder) subscribeWith(ctx context.Context, hub *Hub, wanted Subscription) *recordingWriter {
	writer := &recordingWriter{log: l, header: http.Header{}}
	go hub.ServeHTTP(writer, httptest.NewRequestWithContext(ctx, http.MethodGet, "/"+wanted.Query(), nil))
	return writer
}

// A leader's heartbeats share the link with its hub's streams. However many subscribers connect at once, their first
// frames must stay within the rate limit, and each subscriber must get a frame at once and then at least one per second.
func TestNewSubscribersShareTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log, startedAt := newLimitedHub(), &writeRecorder{}, time.Now()
		var writers []*recordingWriter
		for range testSubscribers {
			writers = append(writers, log.subscribe(ctx, hub))
		}
		synctest.Wait()
		for _, writer := range writers {
			at, _, _ := writer.received()
			must.Positive(t, len(at))
			must.Eq(t, startedAt, at[0])
		}
		frameTime := time.Duration(float64(longFrameBytes+slackBytes) / testBytesPerSecond * float64(time.Second))
		time.Sleep(testSubscribers*frameTime + time.Second)
		synctest.Wait()
		for _, writer := range writers {
			at, bytes, _ := writer.received()
			must.Greater(t, longFrameBytes, bytes)
			for i := 1; i < len(at); i++ {
				must.LessEq(t, KeepAliveInterval+frameTime, at[i].Sub(at[i-1]))
			}
		}
		const window = 100 * time.Millisecond
		rate, burst := float64(testBytesPerSecond), burstDuration
		allowed := int(rate*(window+burst).Seconds()) + longFrameBytes + slackBytes
		must.LessEq(t, allowed, log.maxBytesWithin(window))
		cancel()
	})
}

// A subscriber that disconnects while its frame is queued must not use the rate or stay in the queue. The others must
// receive only the value that is newest when their frame is sent.
func TestDisconnectedSubscribersLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log := newLimitedHub(), &writeRecorder{}
		staying := log.subscribe(ctx, hub)
		synctest.Wait()
		for range testSubscribers {
			leaving, leave := context.WithCancel(ctx)
			log.subscribe(leaving, hub)
			time.AfterFunc(time.Duration(rand.IntN(int(time.Second))), leave)
		}
		synctest.Wait()
		lastSubscriber := log.subscribe(ctx, hub)
		time.Sleep(time.Second)
		next := make([]byte, longFrameBytes+1)
		hub.Publish(Part{Index: 1, Data: next})
		time.Sleep(time.Second / 2)
		synctest.Wait()
		must.Eq(t, next, staying.lastPart())
		must.Eq(t, next, lastSubscriber.lastPart())
		_, bytes, _ := lastSubscriber.received()
		must.Less(t, 2*longFrameBytes, bytes, must.Sprint("a value that was replaced while its frame was queued must not be sent"))
		cancel()
		synctest.Wait()
		must.Eq(t, 0, hub.SubscriberCount())
		must.SliceEmpty(t, hub.limiter.queue)
	})
}

// A short frame, such as the change of one route, must not wait for queued long frames.
func TestShortFramesAreNotQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log := NewHub(2, testSubscribers+1), &writeRecorder{}
		hub.LimitRate(testBytesPerSecond)
		hub.Publish(Part{Index: 0, Data: []byte("header")})
		existing := log.subscribe(ctx, hub)
		synctest.Wait()
		hub.Publish(Part{Index: 1, Data: make([]byte, longFrameBytes)})
		time.Sleep(KeepAliveInterval / 2)
		for range testSubscribers {
			log.subscribe(ctx, hub)
		}
		synctest.Wait()
		must.Eq(t, longFrameBytes, len(existing.lastPart()))
		hub.Publish(Part{Index: 0, Data: []byte("another header")})
		synctest.Wait()
		must.Eq(t, "another header", string(existing.lastPart()))
		cancel()
	})
}

// Frames of urgent subscribers, such as stores, on which other processes depend, and shorter frames must be sent before
// the long frames of many other subscribers.
func TestUrgentThenShorterFramesAreSentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log, hub := &writeRecorder{}, NewHub(3, 2*testSubscribers)
		hub.LimitRate(testBytesPerSecond)
		hub.Publish(Part{Index: 0, Data: []byte("header")}, Part{Index: 1, Data: make([]byte, longFrameBytes)}, Part{Index: 2, Data: make([]byte, longFrameBytes/4)})
		for range testSubscribers {
			log.subscribe(ctx, hub)
		}
		synctest.Wait()
		urgent := log.subscribeWith(ctx, hub, Subscription{Urgent: true})
		short := log.subscribeWith(ctx, hub, Subscription{ExcludedParts: []int{1}})
		time.Sleep(3 * longFrameBytes * time.Second / testBytesPerSecond)
		synctest.Wait()
		must.Eq(t, longFrameBytes/4, len(urgent.lastPart()))
		must.Eq(t, longFrameBytes/4, len(short.lastPart()))
		must.Greater(t, testSubscribers/2, len(hub.limiter.queue))
		cancel()
	})
}

// Short frames are not delayed, but count against the rate: while many of them are sent, a long frame must wait.
func TestShortFramesCountAgainstTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log, hub := &writeRecorder{}, NewHub(2, 2*testSubscribers)
		hub.LimitRate(testBytesPerSecond)
		hub.Publish(Part{Index: 0, Data: make([]byte, minQueuedFrameBytes-1)})
		for range testSubscribers {
			log.subscribe(ctx, hub)
		}
		synctest.Wait()
		hub.Publish(Part{Index: 1, Data: make([]byte, longFrameBytes)})
		last := log.subscribe(ctx, hub)
		time.Sleep(testSubscribers * (minQueuedFrameBytes - 1) * time.Second / testBytesPerSecond / 2)
		synctest.Wait()
		_, bytes, _ := last.received()
		must.Less(t, longFrameBytes, bytes)
		cancel()
	})
}
