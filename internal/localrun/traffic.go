package localrun

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	clientDeadline = 800 * time.Millisecond
	tries          = 3
	retryPause     = 250 * time.Millisecond
	delayOfDelayed = 700 * time.Millisecond
	keyCount       = 6
	poisonEvery    = 37 // one message in so many can't be done
	hopelessEvery  = 41 // one in so many fails each time
	wobblyEvery    = 11 // one in so many fails once
	bodyBytes      = 300
)

// rates are the messages a second of each kind.
var rates = []struct {
	kind Kind
	perS int
}{{Plain, 25}, {Delayed, 5}, {Keyed, 20}, {Rated, 12}}

// traffic is the clients. Offers counts messages; each may need several tries.
type traffic struct {
	ledger *Ledger
	entry  *entry
	client *http.Client

	mutex    sync.Mutex
	random   *rand.Rand
	offered  int
	accepted int
	sending  sync.WaitGroup
}

func newTraffic(ledger *Ledger, entry *entry, seed uint64) *traffic {
	return &traffic{
		ledger: ledger,
		entry:  entry,
		client: responsecheck.NewClient(clientDeadline),
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// run sends all kinds until the context ends, and returns when every try has its answer.
func (t *traffic) run(ctx context.Context) {
	var sources sync.WaitGroup
	for _, rate := range rates {
		sources.Add(1)
		go func() {
			defer sources.Done()
			t.source(ctx, rate.kind, time.Second/time.Duration(rate.perS))
		}()
	}
	sources.Wait()
	t.sending.Wait()
}

// source sends messages of one kind at a steady pace.
func (t *traffic) source(ctx context.Context, kind Kind, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.sending.Add(1)
		go func() {
			defer t.sending.Done()
			t.offer(kind)
		}()
	}
}

// offer sends one message, and again after a promise that it was not taken or a dispatcher that can't be reached.
func (t *traffic) offer(kind Kind) {
	template := t.draw(kind)
	for attempt := range tries {
		message := template
		message.ID = t.drawID()
		fate := t.send(&message)
		if fate == Accepted {
			t.mutex.Lock()
			t.accepted++
			t.mutex.Unlock()
			return
		}
		if fate == Other {
			return
		}
		time.Sleep(retryPause << attempt)
	}
}

// draw draws a message without its id.
func (t *traffic) draw(kind Kind) Message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.offered++
	message := Message{Kind: kind, Body: make([]byte, bodyBytes), Wish: wishOf(t.offered)}
	for i := range message.Body {
		message.Body[i] = byte(t.random.Uint32())
	}
	switch kind {
	case Delayed:
		message.Delay = delayOfDelayed
	case Keyed:
		message.Key = fmt.Sprintf("key-%d", t.random.IntN(keyCount))
	}
	return message
}

func (t *traffic) drawID() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(t.random.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

func wishOf(number int) Wish {
	switch {
	case number%poisonEvery == 0:
		return Refuse
	case number%hopelessEvery == 0:
		return FailAlways
	case number%wobblyEvery == 0:
		return FailOnce
	default:
		return Succeed
	}
}

// send makes one try and enters its answer.
func (t *traffic) send(m *Message) Fate {
	t.ledger.Send(m)
	fate, name := t.exchange(m)
	t.ledger.Answer(m, fate, name)
	return fate
}

func (t *traffic) exchange(m *Message) (Fate, string) {
	target := "http://" + t.entry.next() + prefixOf(m.Kind) + m.ID
	request, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(m.Body))
	if err != nil {
		return Other, ""
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", m.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	if m.Key != "" {
		request.Header.Set("X-Order-Key", m.Key)
	}
	if m.Delay > 0 {
		request.Header.Set("X-Delay-Ms", fmt.Sprint(m.Delay.Milliseconds()))
	}
	response, err := t.client.Do(request)
	if err != nil {
		return Unknown, ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return fateOf(response.StatusCode), nameOf(response, m)
}

func fateOf(status int) Fate {
	switch status {
	case http.StatusAccepted:
		return Accepted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return Promised
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Unknown
	default:
		return Other
	}
}

// nameOf is the name that the 202 gives the message: its own, or the request's id.
func nameOf(response *http.Response, m *Message) string {
	if name := response.Header.Get("X-Msg-Id"); name != "" {
		return name
	}
	return m.ID
}

// share is the part of the offered messages that was accepted in the end.
func (t *traffic) share() (accepted, offered int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accepted, t.offered
}
