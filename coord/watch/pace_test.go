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
	paceRate      = 1 << 20 // bytes a second
	paceFrame     = 50 << 10
	paceFollowers = 200
	paceSlack     = 4 << 10 // headers and signs of life within one window
)

// paceLog is what left a hub, in the order in which it did.
type paceLog struct {
	mutex   sync.Mutex
	at      []time.Time
	lengths []int
}

// mostWithin is the most that left within any window.
func (l *paceLog) mostWithin(window time.Duration) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	most, sum, first := 0, 0, 0
	for next, at := range l.at {
		sum += l.lengths[next]
		for l.at[first].Before(at.Add(-window)) {
			sum -= l.lengths[first]
			first++
		}
		most = max(most, sum)
	}
	return most
}

// paceWriter is a subscriber's end of a response.
type paceWriter struct {
	log    *paceLog
	header http.Header
	at     []time.Time // of each flush
	bytes  int
	newest []byte // last part written
}

func (w *paceWriter) Header() http.Header              { return w.header }
func (w *paceWriter) WriteHeader(int)                  {}
func (w *paceWriter) SetWriteDeadline(time.Time) error { return nil }
func (w *paceWriter) Flush() {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	w.at = append(w.at, time.Now())
}
func (w *paceWriter) Write(data []byte) (int, error) {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	w.log.at = append(w.log.at, time.Now())
	w.log.lengths = append(w.log.lengths, len(data))
	w.bytes += len(data)
	w.newest = data
	return len(data), nil
}

// came returns when the subscriber was sent frames, how many bytes they had, and what was sent last.
func (w *paceWriter) came() (at []time.Time, bytes int, newest []byte) {
	w.log.mutex.Lock()
	defer w.log.mutex.Unlock()
	return slices.Clone(w.at), w.bytes, w.newest
}

// latest is what was sent last.
func (w *paceWriter) latest() []byte {
	_, _, newest := w.came()
	return newest
}

// pacedHub returns a hub with a header and a long part.
func pacedHub() *Hub {
	hub := NewHub(2, 10*paceFollowers)
	hub.LimitRate(paceRate)
	hub.Publish(Part{Index: 0, Data: []byte("header")}, Part{Index: 1, Data: make([]byte, paceFrame)})
	return hub
}

// follow subscribes until the context ends.
func (l *paceLog) follow(ctx context.Context, hub *Hub) *paceWriter {
	return l.followWith(ctx, hub, Subscription{})
}

// followWith is follow for a subscription of some kind.
func (l *paceLog) followWith(ctx context.Context, hub *Hub, wanted Subscription) *paceWriter {
	writer := &paceWriter{log: l, header: http.Header{}}
	go hub.ServeHTTP(writer, httptest.NewRequestWithContext(ctx, http.MethodGet, "/"+wanted.Query(), nil))
	return writer
}

// Heartbeats of a leader go over the link that its hub sends on: what newcomers need may take no more than its share of it, however many
// come at once, and each hears at once and then each second that the leader is there.
func TestNewcomersShareABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log, begun := pacedHub(), &paceLog{}, time.Now()
		var writers []*paceWriter
		for range paceFollowers {
			writers = append(writers, log.follow(ctx, hub))
		}
		synctest.Wait()
		for _, writer := range writers {
			at, _, _ := writer.came()
			must.Positive(t, len(at))
			must.Eq(t, begun, at[0])
		}
		frameTime := time.Duration(float64(paceFrame+paceSlack) / paceRate * float64(time.Second))
		time.Sleep(paceFollowers*frameTime + time.Second)
		synctest.Wait()
		for _, writer := range writers {
			at, bytes, _ := writer.came()
			must.Greater(t, paceFrame, bytes)
			for i := 1; i < len(at); i++ {
				must.LessEq(t, KeepAliveInterval+frameTime, at[i].Sub(at[i-1]))
			}
		}
		const window = 100 * time.Millisecond
		rate, burst := float64(paceRate), paceBurst
		allowed := int(rate*(window+burst).Seconds()) + paceFrame + paceSlack
		must.LessEq(t, allowed, log.mostWithin(window))
		cancel()
	})
}

// A subscriber that goes while it waits takes no turn, and what waits longest gets what was published last.
func TestTurnsPassOverThoseThatHaveGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log := pacedHub(), &paceLog{}
		staying := log.follow(ctx, hub)
		synctest.Wait()
		for range paceFollowers {
			leaving, leave := context.WithCancel(ctx)
			log.follow(leaving, hub)
			time.AfterFunc(time.Duration(rand.IntN(int(time.Second))), leave)
		}
		synctest.Wait()
		last := log.follow(ctx, hub)
		time.Sleep(time.Second)
		next := make([]byte, paceFrame+1)
		hub.Publish(Part{Index: 1, Data: next})
		time.Sleep(time.Second / 2)
		synctest.Wait()
		must.Eq(t, next, staying.latest())
		must.Eq(t, next, last.latest())
		_, bytes, _ := last.came()
		must.Less(t, 2*paceFrame, bytes, must.Sprint("what was overtaken while it waited is not sent"))
		cancel()
		synctest.Wait()
		must.Eq(t, 0, hub.SubscriberCount())
		must.SliceEmpty(t, hub.pacer.waiting)
	})
}

// A short frame, such as the change of one route, waits for none that is long.
func TestShortFramesGoAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hub, log := NewHub(2, paceFollowers+1), &paceLog{}
		hub.LimitRate(paceRate)
		hub.Publish(Part{Index: 0, Data: []byte("header")})
		follower := log.follow(ctx, hub)
		synctest.Wait()
		hub.Publish(Part{Index: 1, Data: make([]byte, paceFrame)})
		time.Sleep(KeepAliveInterval / 2)
		for range paceFollowers {
			log.follow(ctx, hub)
		}
		synctest.Wait()
		must.Eq(t, paceFrame, len(follower.latest()))
		hub.Publish(Part{Index: 0, Data: []byte("another header")})
		synctest.Wait()
		must.Eq(t, "another header", string(follower.latest()))
		cancel()
	})
}

// Stores, which others wait for, and short parts, such as a table, come before long ones of many.
func TestUrgentAndThenShorterFramesComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log, hub := &paceLog{}, NewHub(3, 2*paceFollowers)
		hub.LimitRate(paceRate)
		hub.Publish(Part{Index: 0, Data: []byte("header")}, Part{Index: 1, Data: make([]byte, paceFrame)}, Part{Index: 2, Data: make([]byte, paceFrame/4)})
		for range paceFollowers {
			log.follow(ctx, hub)
		}
		synctest.Wait()
		urgent := log.followWith(ctx, hub, Subscription{Urgent: true})
		short := log.followWith(ctx, hub, Subscription{ExcludedParts: []int{1}})
		time.Sleep(3 * paceFrame * time.Second / paceRate)
		synctest.Wait()
		must.Eq(t, paceFrame/4, len(urgent.latest()))
		must.Eq(t, paceFrame/4, len(short.latest()))
		must.Greater(t, paceFollowers/2, len(hub.pacer.waiting))
		cancel()
	})
}

// Many short frames leave no room for a long one beside them.
func TestShortFramesCountAgainstTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log, hub := &paceLog{}, NewHub(2, 2*paceFollowers)
		hub.LimitRate(paceRate)
		hub.Publish(Part{Index: 0, Data: make([]byte, pacedBytes-1)})
		for range paceFollowers {
			log.follow(ctx, hub)
		}
		synctest.Wait()
		hub.Publish(Part{Index: 1, Data: make([]byte, paceFrame)})
		last := log.follow(ctx, hub)
		time.Sleep(paceFollowers * (pacedBytes - 1) * time.Second / paceRate / 2)
		synctest.Wait()
		_, bytes, _ := last.came()
		must.Less(t, paceFrame, bytes)
		cancel()
	})
}
