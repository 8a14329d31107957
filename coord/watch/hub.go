package watch

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Part is a new value of one part of the stream.
type Part struct {
	Index int    // which part, from 0
	Data  []byte // its encoding; the hub keeps it, so it must not be changed afterwards
	Delta []byte // encodes what is new against the value published before; empty where only Data does
	// Version names the value: two values of a part with one version are the same, whichever hub published them. A subscriber that
	// holds the version is not sent it again. Empty where there is no such name.
	Version string
}

// value is one published value. Revision counts all publications of the hub; 0 means never published.
type value struct {
	revision uint64
	version  string
	data     []byte
	deltas   deltaChain
}

// revisionOf returns the revision under which a version of the part was published, 0 where the hub can't lead on from it.
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

// Hub holds the newest parts and streams them to its subscribers. It is an http.Handler. Create it with
// NewHub. All methods may be called from any goroutine. Part 0 is the header of the stream: it is sent with
// every frame that carries another part, changed or not.
type Hub struct {
	maxSubscribers int
	pacer          *pacer // nil for no bound

	mutex       sync.Mutex
	parts       []value
	revision    uint64
	changed     chan struct{} // closed at each publication
	stopped     chan struct{} // closed by Disconnect
	subscribers int
}

// NewHub returns a hub of so many parts that takes at most maxSubscribers streams at a time.
func NewHub(parts, maxSubscribers int) *Hub {
	return &Hub{
		maxSubscribers: maxSubscribers,
		parts:          make([]value, parts),
		changed:        make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// Pace bounds the rate, in bytes a second, at which long frames are sent to all subscribers together; 0 is no bound. It is called before
// the hub serves.
func (h *Hub) LimitRate(perSecond float64) {
	h.pacer = nil
	if perSecond > 0 {
		h.pacer = newPacer(perSecond)
	}
}

// Publish replaces parts in one step: no subscriber sees some of them without the others. A part whose
// bytes are those already published is no change. It reports whether anything changed.
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

// Disconnect ends all streams. Later subscribers are served again.
func (h *Hub) DisconnectAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	close(h.stopped)
	h.stopped = make(chan struct{})
}

// Subscribers is the number of streams being served.
func (h *Hub) SubscriberCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.subscribers
}

// ServeHTTP streams frames until the client goes, a frame is not taken in time, or Disconnect is called. It
// answers 503 when the hub has all the subscribers it takes.
func (h *Hub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	stopped, ok := h.enter()
	if !ok {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "all streams are taken: try another control process or come back later", http.StatusServiceUnavailable)
		return
	}
	defer h.leave()
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.WriteHeader(http.StatusOK)
	stream := &subscription{
		hub:     h,
		wants:   wantsOf(request),
		writer:  writer,
		control: http.NewResponseController(writer),
		gone:    request.Context().Done(),
		stopped: stopped,
	}
	_ = stream.run() // the client's end of the connection tells it all there is
}

// enter takes the place of a subscriber. The channel is closed when the stream is to end.
func (h *Hub) enter() (<-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.subscribers >= h.maxSubscribers {
		return nil, false
	}
	h.subscribers++
	return h.stopped, true
}

func (h *Hub) leave() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.subscribers--
	if h.subscribers < 0 {
		panic(errors.New("watch: more subscribers left than came: report this as a defect"))
	}
}

// since returns the parts published after a revision, the header before them, the newest revision, and a
// channel that is closed at the next publication. Where the subscriber takes deltas and holds what they build on, they
// stand for their part. Revision 0 is that of a new subscriber, which may hold versions of another hub.
func (h *Hub) since(revision uint64, wants wants, buffer [][]byte) ([][]byte, uint64, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.revision > revision {
		buffer = append(buffer, h.parts[0].data)
	}
	for index := range h.parts {
		part := &h.parts[index]
		if index == 0 || wants.without[index] {
			continue
		}
		held := revision
		if held == 0 {
			held = part.revisionOf(wants.held[index])
		}
		buffer = part.appendSince(held, wants.deltas, buffer)
	}
	return buffer, h.revision, h.changed
}

// appendSince appends what leads from the value of a revision to the newest one: nothing, deltas if they are taken, or the whole.
func (v *value) appendSince(revision uint64, deltas bool, buffer [][]byte) [][]byte {
	switch {
	case v.revision <= revision:
		return buffer
	case deltas && v.deltas.reach(revision):
		return v.deltas.appendSince(revision, buffer)
	default:
		return append(buffer, v.data)
	}
}
