package watch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout is the maximum time for writing one frame to a subscriber.
const writeTimeout = 3 * time.Second

// errStreamEnded is returned if the client disconnects or DisconnectAll is called while a frame is queued.
var errStreamEnded = errors.New("watch: the stream has ended")

// subscriberStream is the stream of one subscriber. Only the goroutine that serves its request uses it.
type subscriberStream struct {
	hub         *Hub
	writer      http.ResponseWriter
	controller  *http.ResponseController
	preferences preferences
	clientGone  <-chan struct{} // closed when the client has disconnected
	stopped     <-chan struct{} // closed by DisconnectAll
	revision    uint64          // of the hub that the subscriber has received; 0 before the first complete frame
	header      []byte          // buffer for the length prefix of a frame
	parts       [][]byte        // buffer for the parts of a frame
}

// run sends frames until the stream ends. It returns nil if the client has disconnected or DisconnectAll was called
// between frames.
func (s *subscriberStream) run() error {
	keepAlive := time.NewTimer(KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		changed, err := s.sendChanges()
		if err != nil {
			return err
		}
		keepAlive.Reset(KeepAliveInterval)
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-s.clientGone:
			return nil
		case <-s.stopped:
			return nil
		}
	}
}

// sendChanges writes one frame with all parts that are new to the subscriber; without such parts it is a keep-alive.
// It returns a channel that is closed at the next publication. With a rate limit, a long frame waits in the queue. A
// new subscriber then gets a frame with the header alone first, so that it knows which process streams. While the
// frame waits, its content may change: it is collected again when it is sent.
func (s *subscriberStream) sendChanges() (<-chan struct{}, error) {
	changed := s.collectChanges()
	limiter := s.hub.limiter
	if limiter == nil {
		return changed.published, s.writeParts(changed)
	}
	if changed.length < minQueuedFrameBytes {
		limiter.consume(changed.length)
		return changed.published, s.writeParts(changed)
	}
	if err := s.sendHeader(); err != nil {
		return nil, err
	}
	counted := changed.length
	if err := s.waitForRate(limiter, counted); err != nil {
		return nil, err
	}
	changed = s.collectChanges()
	limiter.consume(changed.length - counted)
	return changed.published, s.writeParts(changed)
}

// changes describes the next frame, whose parts are in subscriberStream.parts.
type changes struct {
	length    int             // of the frame, in bytes, without its length prefix
	revision  uint64          // of the hub that the subscriber holds once the frame was sent
	published <-chan struct{} // closed at the next publication
}

// collectChanges collects the parts of the next frame in s.parts.
func (s *subscriberStream) collectChanges() changes {
	parts, revision, published := s.hub.changesSince(s.revision, s.preferences, s.parts[:0])
	s.parts = parts
	return changes{length: lengthOf(parts), revision: revision, published: published}
}

// lengthOf returns the total length of parts in bytes.
func lengthOf(parts [][]byte) int {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	return length
}

// writeParts writes a frame of the collected parts.
func (s *subscriberStream) writeParts(collected changes) error {
	if err := s.write(s.parts); err != nil {
		return err
	}
	s.revision = collected.revision
	clear(s.parts)
	return nil
}

// sendHeader sends the header part alone if the subscriber has not received a complete frame yet.
func (s *subscriberStream) sendHeader() error {
	if s.revision > 0 {
		return nil
	}
	return s.write(s.parts[:1])
}

// waitForRate blocks until the rate limit allows a frame of length bytes, and sends keep-alives meanwhile. It returns
// errStreamEnded if the stream ends, or the error of a write.
func (s *subscriberStream) waitForRate(limiter *limiter, length int) error {
	queued := limiter.enqueue(length, s.preferences.urgent)
	defer limiter.cancel(queued)
	keepAlive := time.NewTicker(KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-queued.granted:
			return nil
		case <-keepAlive.C:
			if err := s.write(nil); err != nil {
				return err
			}
		case <-s.clientGone:
			return errStreamEnded
		case <-s.stopped:
			return errStreamEnded
		}
	}
}

// write sends one frame of parts and flushes it. A frame without parts is a keep-alive.
func (s *subscriberStream) write(parts [][]byte) error {
	length := lengthOf(parts)
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline for writing a frame of "+strconv.Itoa(length)+" bytes")
	}
	s.header = appendHeader(s.header[:0], length)
	if _, err := s.writer.Write(s.header); err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := s.writer.Write(part); err != nil {
			return err
		}
	}
	return s.controller.Flush()
}
