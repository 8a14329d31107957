package watch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testParts = 4

// versionsOf decodes a frame made of parts encoded by encodeTest: part index and version.
func versionsOf(t *testing.T, frame []byte, into map[int]uint64) {
	t.Helper()
	for len(frame) > 0 {
		index := int(frame[0])
		version, size := binary.Uvarint(frame[1:])
		must.Positive(t, size)
		must.GreaterEq(t, into[index], version)
		into[index] = version
		frame = frame[1+size:]
	}
}

func encodeTest(index int, version uint64) Part {
	return Part{Index: index, Data: binary.AppendUvarint([]byte{byte(index)}, version)}
}

// errEnough ends a stream from its callback.
var errEnough = errors.New("enough")

func TestFirstFrameIsWholeAndLaterOnesCarryChanges(t *testing.T) {
	hub := NewHub(testParts, 2)
	server := httptest.NewServer(hub)
	defer server.Close()
	for index := range testParts {
		must.True(t, hub.Publish(encodeTest(index, 1)))
	}
	must.False(t, hub.Publish(encodeTest(2, 1)))
	var frames [][]byte
	err := (&Client{}).Follow(context.Background(), server.URL, func(frame []byte) error {
		frames = append(frames, frame)
		if len(frames) == 1 {
			hub.Publish(encodeTest(1, 7), encodeTest(3, 8))
			return nil
		}
		return errEnough
	})
	must.ErrorIs(t, err, errEnough)
	first := map[int]uint64{}
	versionsOf(t, frames[0], first)
	must.Eq(t, map[int]uint64{0: 1, 1: 1, 2: 1, 3: 1}, first)
	second := map[int]uint64{}
	versionsOf(t, frames[1], second)
	must.Eq(t, map[int]uint64{0: 1, 1: 7, 3: 8}, second)
}

func TestSubscribersSeeTheNewestOfAllParts(t *testing.T) {
	hub := NewHub(testParts, 8)
	server := httptest.NewServer(hub)
	defer server.Close()
	const last = 2000
	publish := func() {
		for version := uint64(1); version <= last; version++ {
			hub.Publish(encodeTest(1+rand.IntN(testParts-1), version))
		}
		for index := range testParts {
			hub.Publish(encodeTest(index, last+1))
		}
	}
	outcomes := make(chan error, 4)
	for range cap(outcomes) {
		seen := map[int]uint64{}
		go func() {
			outcomes <- (&Client{}).Follow(context.Background(), server.URL, func(frame []byte) error {
				versionsOf(t, frame, seen)
				for index := range testParts {
					if seen[index] != last+1 {
						return nil
					}
				}
				return errEnough
			})
		}()
	}
	go publish()
	for range cap(outcomes) {
		must.ErrorIs(t, <-outcomes, errEnough)
	}
}

func TestSinceReturnsWhatChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := NewHub(testParts, 1)
		published := make([]uint64, testParts)
		seen := make([]uint64, testParts)
		revision := uint64(0)
		for step := range uint64(rapid.IntRange(1, 50).Draw(t, "steps")) {
			index := rapid.IntRange(0, testParts-1).Draw(t, "part")
			hub.Publish(encodeTest(index, step))
			published[index] = step
			if rapid.Bool().Draw(t, "reads") {
				parts, next, _ := hub.since(revision, wants{}, nil)
				for _, part := range parts {
					if len(part) > 0 {
						seen[part[0]], _ = binary.Uvarint(part[1:])
					}
				}
				must.Eq(t, published, seen)
				must.GreaterEq(t, revision, next)
				revision = next
				again, _, _ := hub.since(revision, wants{}, nil)
				must.Len(t, 0, again)
			}
		}
	})
}

func TestSubscribersAreBounded(t *testing.T) {
	hub := NewHub(1, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	err := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error {
		refused := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error { return errEnough })
		fault := &NotStreamingError{}
		must.True(t, errors.As(refused, &fault))
		must.EqOp(t, http.StatusServiceUnavailable, fault.Status)
		must.EqOp(t, 1, hub.SubscriberCount())
		return errEnough
	})
	must.ErrorIs(t, err, errEnough)
}

func TestDisconnectEndsStreams(t *testing.T) {
	hub := NewHub(1, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	err := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error {
		hub.DisconnectAll()
		return nil
	})
	must.Error(t, err)
	must.False(t, errors.Is(err, errEnough))
}

func TestRefusalNamesTheLeader(t *testing.T) {
	for _, header := range []string{"Location", LeaderHeader} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			value := "10.0.0.4:8080"
			if header == "Location" {
				value = "http://10.0.0.4:8080/internal/watch"
			}
			writer.Header().Set(header, value)
			writer.WriteHeader(http.StatusTemporaryRedirect)
		}))
		err := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error { return nil })
		server.Close()
		fault := &NotStreamingError{}
		must.True(t, errors.As(err, &fault))
		must.EqOp(t, "10.0.0.4:8080", fault.Leader)
	}
}

func TestSilenceIsReported(t *testing.T) {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		<-ended
	}))
	defer server.Close()
	defer close(ended)
	client := &Client{SilenceTimeout: 50 * time.Millisecond}
	err := client.Follow(context.Background(), server.URL, func([]byte) error { return nil })
	fault := &SilenceTimeoutError{}
	must.True(t, errors.As(err, &fault))
}

func TestEndOfTheContextIsReported(t *testing.T) {
	hub := NewHub(1, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	err := (&Client{}).Follow(ctx, server.URL, func([]byte) error { cancel(); return nil })
	must.ErrorIs(t, err, context.Canceled)
}

func TestFramesAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		frames := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 300)).Draw(t, "frames")
		for _, frame := range frames {
			stream = append(appendHeader(stream, len(frame)), frame...)
		}
		reader := bufio.NewReader(bytes.NewReader(stream))
		for _, frame := range frames {
			read, err := readFrame(reader, 300)
			must.NoError(t, err)
			must.True(t, bytes.Equal(frame, read))
		}
	})
}

func TestFrameAboveTheBoundIsRefused(t *testing.T) {
	reader := bufio.NewReader(bytes.NewReader(appendHeader(nil, 301)))
	_, err := readFrame(reader, 300)
	fault := &FrameTooLargeError{}
	must.True(t, errors.As(err, &fault))
	must.StrContains(t, fault.Error(), fmt.Sprint(300))
}

func TestSubscriberIsSparedThePartsItDoesWithout(t *testing.T) {
	hub := NewHub(3, 1)
	hub.Publish(Part{Index: 0, Data: []byte("h")}, Part{Index: 1, Data: []byte("one")}, Part{Index: 2, Data: []byte("two")})
	subscription := Subscription{ExcludedParts: []int{2, 0}}
	request := httptest.NewRequest(http.MethodGet, "/"+subscription.Query()+"&"+withoutParameter+"=x", nil)
	parts, _, _ := hub.since(0, wantsOf(request), nil)
	must.Eq(t, [][]byte{[]byte("h"), []byte("one")}, parts)
}

func TestQueryNamesWhatASubscriberWants(t *testing.T) {
	must.Eq(t, "", Subscription{}.Query())
	wanted := Subscription{ExcludedParts: []int{3}, AcceptDeltas: true, Urgent: true, HeldVersions: map[int]string{1: "7", 2: "4:1"}}
	request := httptest.NewRequest(http.MethodGet, "/"+wanted.Query(), nil)
	must.Eq(t, wants{without: map[int]bool{3: true}, deltas: true, urgent: true, held: map[int]string{1: "7", 2: "4:1"}}, wantsOf(request))
	unreadable := wantsOf(httptest.NewRequest(http.MethodGet, "/?deltas=perhaps&held=x:1", nil))
	must.False(t, unreadable.deltas)
	must.MapEmpty(t, unreadable.held)
}

// TCP repeats a lost opening packet after a second; a dial must have been given up long before.
func TestDialEndsBeforeTheOpeningPacketIsRepeated(t *testing.T) {
	must.LessEq(t, time.Second/4, dialTimeout)
}
