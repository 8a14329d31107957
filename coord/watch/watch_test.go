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

// decodeFrame decodes a frame of parts encoded by encodePart and stores the version of each part by its index. The
// versions of a part must not decrease.
func decodeFrame(t *testing.T, frame []byte, into map[int]uint64) {
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

// encodePart encodes a part as its index, one byte, followed by the version as a varint.
func encodePart(index int, version uint64) Part {
	return Part{Index: index, Data: binary.AppendUvarint([]byte{byte(index)}, version)}
}

// errDone is returned by the callbacks of Follow to end a stream.
var errDone = errors.New("done")

func TestFirstFrameIsCompleteAndLaterFramesCarryChanges(t *testing.T) {
	hub := NewHub(testParts, 2)
	server := httptest.NewServer(hub)
	defer server.Close()
	for index := range testParts {
		must.True(t, hub.Publish(encodePart(index, 1)))
	}
	must.False(t, hub.Publish(encodePart(2, 1)))
	var frames [][]byte
	err := (&Client{}).Follow(context.Background(), server.URL, func(frame []byte) error {
		frames = append(frames, frame)
		if len(frames) == 1 {
			hub.Publish(encodePart(1, 7), encodePart(3, 8))
			return nil
		}
		return errDone
	})
	must.ErrorIs(t, err, errDone)
	first := map[int]uint64{}
	decodeFrame(t, frames[0], first)
	must.Eq(t, map[int]uint64{0: 1, 1: 1, 2: 1, 3: 1}, first)
	second := map[int]uint64{}
	decodeFrame(t, frames[1], second)
	must.Eq(t, map[int]uint64{0: 1, 1: 7, 3: 8}, second)
}

// Subscribers that read while values are published may skip versions, but must receive the newest version of each
// part in the end, and no older version after a newer one.
func TestSubscribersReceiveTheNewestValueOfEachPart(t *testing.T) {
	hub := NewHub(testParts, 8)
	server := httptest.NewServer(hub)
	defer server.Close()
	const last = 2000
	publish := func() {
		for version := uint64(1); version <= last; version++ {
			hub.Publish(encodePart(1+rand.IntN(testParts-1), version))
		}
		for index := range testParts {
			hub.Publish(encodePart(index, last+1))
		}
	}
	outcomes := make(chan error, 4)
	for range cap(outcomes) {
		seen := map[int]uint64{}
		go func() {
			outcomes <- (&Client{}).Follow(context.Background(), server.URL, func(frame []byte) error {
				decodeFrame(t, frame, seen)
				for index := range testParts {
					if seen[index] != last+1 {
						return nil
					}
				}
				return errDone
			})
		}()
	}
	go publish()
	for range cap(outcomes) {
		must.ErrorIs(t, <-outcomes, errDone)
	}
}

func TestChangesSinceReturnsChangedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := NewHub(testParts, 1)
		published := make([]uint64, testParts)
		seen := make([]uint64, testParts)
		revision := uint64(0)
		for step := range uint64(rapid.IntRange(1, 50).Draw(t, "steps")) {
			index := rapid.IntRange(0, testParts-1).Draw(t, "part")
			hub.Publish(encodePart(index, step))
			published[index] = step
			if rapid.Bool().Draw(t, "reads") {
				parts, next, _ := hub.changesSince(revision, preferences{}, nil)
				for _, part := range parts {
					if len(part) > 0 {
						seen[part[0]], _ = binary.Uvarint(part[1:])
					}
				}
				must.Eq(t, published, seen)
				must.GreaterEq(t, revision, next)
				revision = next
				again, _, _ := hub.changesSince(revision, preferences{}, nil)
				must.Len(t, 0, again)
			}
		}
	})
}

func TestSubscriberLimit(t *testing.T) {
	hub := NewHub(1, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	err := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error {
		refused := (&Client{}).Follow(context.Background(), server.URL, func([]byte) error { return errDone })
		fault := &NotStreamingError{}
		must.True(t, errors.As(refused, &fault))
		must.EqOp(t, http.StatusServiceUnavailable, fault.Status)
		must.EqOp(t, 1, hub.SubscriberCount())
		return errDone
	})
	must.ErrorIs(t, err, errDone)
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
	must.False(t, errors.Is(err, errDone))
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

func TestSilenceTimeoutIsReported(t *testing.T) {
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

func TestContextCancellationIsReported(t *testing.T) {
	hub := NewHub(1, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	err := (&Client{}).Follow(ctx, server.URL, func([]byte) error { cancel(); return nil })
	must.ErrorIs(t, err, context.Canceled)
}

func TestFrameRoundTrip(t *testing.T) {
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

func TestFrameAboveTheLimitIsRejected(t *testing.T) {
	reader := bufio.NewReader(bytes.NewReader(appendHeader(nil, 301)))
	_, err := readFrame(reader, 300)
	fault := &FrameTooLargeError{}
	must.True(t, errors.As(err, &fault))
	must.StrContains(t, fault.Error(), fmt.Sprint(300))
}

func TestExcludedPartsAreNotSent(t *testing.T) {
	hub := NewHub(3, 1)
	hub.Publish(Part{Index: 0, Data: []byte("h")}, Part{Index: 1, Data: []byte("one")}, Part{Index: 2, Data: []byte("two")})
	subscription := Subscription{ExcludedParts: []int{2, 0}}
	request := httptest.NewRequest(http.MethodGet, "/"+subscription.Query()+"&"+excludedParameter+"=x", nil)
	parts, _, _ := hub.changesSince(0, parsePreferences(request), nil)
	must.Eq(t, [][]byte{[]byte("h"), []byte("one")}, parts)
}

func TestSubscriptionQueryRoundTrip(t *testing.T) {
	must.Eq(t, "", Subscription{}.Query())
	subscription := Subscription{ExcludedParts: []int{3}, AcceptDeltas: true, Urgent: true, HeldVersions: map[int]string{1: "7", 2: "4:1"}}
	request := httptest.NewRequest(http.MethodGet, "/"+subscription.Query(), nil)
	must.Eq(t, preferences{excluded: map[int]bool{3: true}, deltas: true, urgent: true, held: map[int]string{1: "7", 2: "4:1"}}, parsePreferences(request))
	invalid := parsePreferences(httptest.NewRequest(http.MethodGet, "/?deltas=perhaps&held=x:1", nil))
	must.False(t, invalid.deltas)
	must.MapEmpty(t, invalid.held)
}

// TCP retransmits a lost SYN after one second; a dial must time out well before that.
func TestDialTimesOutBeforeSYNRetransmission(t *testing.T) {
	must.LessEq(t, time.Second/4, dialTimeout)
}
