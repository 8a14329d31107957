package watch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout bounds the time in which a subscriber must take one frame.
const writeTimeout = 3 * time.Second

// errEnded ends a stream whose client has gone, or whose hub was disconnected.
var errEnded = errors.New("watch: the stream has ended")

// subscription is one stream. It belongs to the goroutine of its request.
type subscription struct {
	hub      *Hub
	writer   http.ResponseWriter
	control  *http.ResponseController
	wants    wants
	gone     <-chan struct{} // closed when the client has gone
	stopped  <-chan struct{} // closed when the hub ends its streams
	revision uint64
	header   []byte
	parts    [][]byte
}

func (s *subscription) run() error {
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
		case <-s.gone:
			return nil
		case <-s.stopped:
			return nil
		}
	}
}

// sendChanges writes one frame of all parts that are new to the subscriber; it is empty where there are none. A long one waits for its
// turn; a new subscriber is sent the header alone meanwhile, which tells it who streams.
func (s *subscription) sendChanges() (<-chan struct{}, error) {
	changed := s.takeChanges()
	pacer := s.hub.pacer
	if pacer == nil {
		return changed.channel, s.sendTaken(changed)
	}
	if changed.length < pacedBytes {
		pacer.spend(changed.length)
		return changed.channel, s.sendTaken(changed)
	}
	if err := s.sendHeader(); err != nil {
		return nil, err
	}
	counted := changed.length
	if err := s.awaitTurn(pacer, counted); err != nil {
		return nil, err
	}
	changed = s.takeChanges()
	pacer.spend(changed.length - counted)
	return changed.channel, s.sendTaken(changed)
}

// changes are those that a frame brings up to date.
type changes struct {
	length   int             // of the frame, in bytes
	revision uint64          // of the hub once they are sent
	channel  <-chan struct{} // closed at the next publication
}

// takeChanges puts the parts of the next frame into s.parts.
func (s *subscription) takeChanges() changes {
	parts, revision, channel := s.hub.since(s.revision, s.wants, s.parts[:0])
	s.parts = parts
	return changes{length: lengthOf(parts), revision: revision, channel: channel}
}

func lengthOf(parts [][]byte) int {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	return length
}

// sendTaken writes the parts taken.
func (s *subscription) sendTaken(taken changes) error {
	if err := s.write(s.parts); err != nil {
		return err
	}
	s.revision = taken.revision
	clear(s.parts)
	return nil
}

// sendHeader sends a new subscriber the header alone.
func (s *subscription) sendHeader() error {
	if s.revision > 0 {
		return nil
	}
	return s.write(s.parts[:1])
}

// awaitTurn waits, with signs of life, until a frame of a length may be sent.
func (s *subscription) awaitTurn(pacer *pacer, length int) error {
	place := pacer.enter(length, s.wants.urgent)
	defer pacer.giveUp(place)
	keepAlive := time.NewTicker(KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-place.granted:
			return nil
		case <-keepAlive.C:
			if err := s.write(nil); err != nil {
				return err
			}
		case <-s.gone:
			return errEnded
		case <-s.stopped:
			return errEnded
		}
	}
}

// write sends one frame of parts; an empty one is a sign of life.
func (s *subscription) write(parts [][]byte) error {
	length := lengthOf(parts)
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "bound the write of a frame of "+strconv.Itoa(length)+" bytes")
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
	return s.control.Flush()
}
