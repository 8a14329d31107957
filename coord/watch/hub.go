package watch

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Part is a new value of one part of the stream. The hub retains Data and Delta, so the caller must not modify them
// after Publish.
type Part struct {
	Index int    // number of the part, from 0
	Data  []byte // encoded value
	Delta []byte // encoded change from the previously published value; empty if there is none
	// Version identifies the value: equal versions of a part mean equal values, on all hubs. The hub does not send a
	// value to a subscriber that already holds its version. Empty if the value has no version.
	Version string
}

// value is the newest published value of a part.
type value struct {
	revision uint64 // of the hub when the value was published; 0 if none was
	version  string // Part.Version
	data     []byte
	deltas   deltaChain
}

// revisionOf returns the revision at which a version of the part was published, or 0 if the hub has neither that
// value nor deltas from it.
func (v *value) revisionOf(version string) uint64 {
	switch {
	case version == "":
		return 0
	case version == v.version:
		return v.revision
	default:
		return v.deltas.revisionOf(version)
	}
}

// Hub holds the newest parts and streams them to its subscribers. It implements http.Handler and is safe for
// concurrent use. Use NewHub to create one. Part 0 is the header of the stream: every frame that carries another
// part starts with it, whether it has changed or not.
type Hub struct {
	maxSubscribers int
	limiter        *limiter // nil for no rate limit

	mutex       sync.Mutex
	parts       []value       // by Part.Index
	revision    uint64        // number of publications that changed something
	changed     chan struct{} // closed and replaced at each publication
	stopped     chan struct{} // closed and replaced by DisconnectAll
	subscribers int
}

// NewHub returns a hub with the given number of parts that serves at most maxSubscribers streams at a time.
func NewHub(parts, maxSubscribers int) *Hub {
	return &Hub{
		maxSubscribers: maxSubscribers,
		parts:          make([]value, parts),
		changed:        make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// LimitRate limits the rate, in bytes per second, at which frames are sent to all subscribers together; 0 means no
// limit. Long frames wait until the rate allows them; short ones count against the rate but are sent at once.
// LimitRate must be called before the hub serves streams.
func (h *Hub) LimitRate(bytesPerSecond float64) {
	h.limiter = nil
	if bytesPerSecond > 0 {
		h.limiter = newLimiter(bytesPerSecond)
	}
}

// Publish replaces the given parts atomically: no frame holds some of them without the others. A part whose data
// equals the published data is not a change. Publish reports whether any part changed.
func (h *Hub) Publish(parts ...Part) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	next := h.revision + 1
	for _, part := range parts {
		current := &h.parts[part.Index]
		if current.revision > 0 && bytes.Equal(current.data, part.Data) {
			continue
		}
		current.deltas.extend(current, next, part)
		current.revision = next
		current.version = part.Version
		current.data = part.Data
		h.revision = next
	}
	if h.revision != next {
		return false
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// DisconnectAll ends all current streams. Later subscribers are served.
func (h *Hub) DisconnectAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	close(h.stopped)
	h.stopped = make(chan struct{})
}

// SubscriberCount returns the number of streams being served.
func (h *Hub) SubscriberCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.subscribers
}

// ServeHTTP streams frames until the client disconnects, a write times out, or DisconnectAll is called. It responds
// with status 503 if the hub already serves the maximum number of subscribers.
func (h *Hub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	stopped, ok := h.addSubscriber()
	if !ok {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "all streams are taken: try another control process or come back later", http.StatusServiceUnavailable)
		return
	}
	defer h.removeSubscriber()
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.WriteHeader(http.StatusOK)
	stream := &subscriberStream{
		hub:         h,
		preferences: parsePreferences(request),
		writer:      writer,
		controller:  http.NewResponseController(writer),
		clientGone:  request.Context().Done(),
		stopped:     stopped,
	}
	_ = stream.run() // the response has started, so the client learns of the error only by the end of the stream
}

// addSubscriber counts a new stream, or returns false if the hub serves the maximum number. The returned channel is
// closed when the stream must end.
func (h *Hub) addSubscriber() (<-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.subscribers >= h.maxSubscribers {
		return nil, false
	}
	h.subscribers++
	return h.stopped, true
}

// removeSubscriber counts the end of a stream.
func (h *Hub) removeSubscriber() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.subscribers--
	if h.subscribers < 0 {
		panic(errors.New("watch: more streams ended than started: report this as a bug"))
	}
}

// changesSince appends the parts published after a revision to buffer, preceded by the header. It also returns the
// newest revision and a channel that is closed at the next publication. If the subscriber accepts deltas and holds the
// value to which they apply, the deltas replace the full value of their part. Revision 0 means a new subscriber, which
// may hold versions that it has received from another hub.
func (h *Hub) changesSince(revision uint64, preferences preferences, buffer [][]byte) ([][]byte, uint64, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.revision > revision {
		buffer = append(buffer, h.parts[0].data)
	}
	for index := range h.parts {
		part := &h.parts[index]
		if index == 0 || preferences.excluded[index] {
			continue
		}
		held := revision
		if held == 0 {
			held = part.revisionOf(preferences.held[index])
		}
		buffer = part.appendSince(held, preferences.deltas, buffer)
	}
	return buffer, h.revision, h.changed
}

// appendSince appends to buffer what a subscriber needs to get from the value at a revision to the newest one:
// nothing, deltas if it accepts them, or the full value.
func (v *value) appendSince(revision uint64, deltas bool, buffer [][]byte) [][]byte {
	switch {
	case v.revision <= revision:
		return buffer
	case deltas && v.deltas.covers(revision):
		return v.deltas.appendSince(revision, buffer)
	default:
		return append(buffer, v.data)
	}
}
