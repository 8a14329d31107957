package watch

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout bounds the time in which a subscriber must take one frame.
const writeTimeout = 3 * time.Second

// Part is a new value of one part of the stream.
type Part struct {
	Index int    // which part, from 0
	Data  []byte // its encoding; the hub keeps it, so it must not be changed afterwards
	Delta []byte // encodes what is new against the value published before; empty where only Data does
}

// version is one published value. Revision counts all publications of the hub; 0 means never published.
type version struct {
	revision uint64
	data     []byte
	deltas   deltaChain
}

// Hub holds the newest parts and streams them to its subscribers. It is an http.Handler. Create it with
// NewHub. All methods may be called from any goroutine. Part 0 is the header of the stream: it is sent with
// every frame that carries another part, changed or not.
type Hub struct {
	maxSubscribers int

	mutex       sync.Mutex
	parts       []version
	revision    uint64
	changed     chan struct{} // closed at each publication
	stopped     chan struct{} // closed by Disconnect
	subscribers int
}

// NewHub returns a hub of so many parts that takes at most maxSubscribers streams at a time.
func NewHub(parts, maxSubscribers int) *Hub {
	return &Hub{
		maxSubscribers: maxSubscribers,
		parts:          make([]version, parts),
		changed:        make(chan struct{}),
		stopped:        make(chan struct{}),
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
		current.deltas.extend(current.revision, next, part)
		current.revision = next
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
func (h *Hub) Disconnect() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	close(h.stopped)
	h.stopped = make(chan struct{})
}

// Subscribers is the number of streams being served.
func (h *Hub) Subscribers() int {
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
	}
	_ = stream.run(request.Context().Done(), stopped) // the client's end of the connection tells it all there is
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
// stand for their part.
func (h *Hub) since(revision uint64, wants wants, buffer [][]byte) ([][]byte, uint64, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.revision > revision {
		buffer = append(buffer, h.parts[0].data)
	}
	for index := range h.parts {
		part := &h.parts[index]
		if index == 0 || part.revision <= revision || wants.without[index] {
			continue
		}
		if wants.deltas && part.deltas.reach(revision) {
			buffer = part.deltas.appendSince(revision, buffer)
			continue
		}
		buffer = append(buffer, part.data)
	}
	return buffer, h.revision, h.changed
}

// subscription is one stream. It belongs to the goroutine of its request.
type subscription struct {
	hub      *Hub
	writer   http.ResponseWriter
	control  *http.ResponseController
	wants    wants
	revision uint64
	header   []byte
	parts    [][]byte
}

func (s *subscription) run(gone, stopped <-chan struct{}) error {
	keepAlive := time.NewTimer(KeepAlive)
	defer keepAlive.Stop()
	for {
		changed, err := s.sendChanges()
		if err != nil {
			return err
		}
		keepAlive.Reset(KeepAlive)
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-gone:
			return nil
		case <-stopped:
			return nil
		}
	}
}

// sendChanges writes one frame of all parts that are new to the subscriber; it is empty where there are none.
func (s *subscription) sendChanges() (<-chan struct{}, error) {
	parts, revision, changed := s.hub.since(s.revision, s.wants, s.parts[:0])
	s.parts = parts
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, errors.Wrap(err, "bound the write of a frame of "+strconv.Itoa(length)+" bytes")
	}
	s.header = appendHeader(s.header[:0], length)
	if _, err := s.writer.Write(s.header); err != nil {
		return nil, err
	}
	for _, part := range parts {
		if _, err := s.writer.Write(part); err != nil {
			return nil, err
		}
	}
	if err := s.control.Flush(); err != nil {
		return nil, err
	}
	s.revision = revision
	clear(s.parts)
	return changed, nil
}
