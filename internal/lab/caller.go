package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/tcp"
)

// overdueAfter is how long after its deadline a request without an answer is given up.
const overdueAfter = 3 * time.Second

// frontTries is how many dispatchers the front tries for a caller's connection.
const frontTries = 8

// callers play the planned requests at one dispatcher, each on a kept connection.
type callers struct {
	s      *Scenario
	addr   string
	ledger *Ledger
	begin  time.Time
	stop   <-chan struct{}
	pick   func() string                           // the front: where a new connection goes; nil for addr
	excuse func(addr string, since time.Time) bool // tells that no answer from there was due; nil for never

	work    chan arrival
	wg      sync.WaitGroup
	reopens int // connections that were found closed between two requests
	resent  int // requests that crossed a close
	mu      sync.Mutex

	drains atomic.Bool  // callers are being sent away, and their connections closed
	away   atomic.Bool  // the front deals out no new connection
	linked atomic.Int64 // open connections, as far as their callers know
}

// run plays all arrivals and returns when each has ended.
func (c *callers) run(plan []arrival) {
	c.work = make(chan arrival, len(plan))
	for range c.s.Callers {
		c.wg.Add(1)
		go c.caller()
	}
	for _, a := range plan {
		if wait := time.Until(c.begin.Add(a.at)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.stop:
			}
		}
		select {
		case <-c.stop:
		default:
			c.ledger.asked(a.id, c.s.Classes[a.class].Name, c.begin.Add(a.at))
			c.work <- a
			continue
		}
		break
	}
	close(c.work)
	c.wg.Wait()
}

// link is a caller's connection.
type link struct {
	net.Conn
	r       *responsecheck.Reader
	addr    string
	asked   time.Time // when its last request was sent
	kept    bool      // it has carried an answer
	crossed bool      // its last request crossed the connection's close, unread
}

func newLink(nc net.Conn, addr string) *link {
	return &link{Conn: nc, r: responsecheck.NewReader(nc, http.MethodPost), addr: addr}
}

func (c *callers) caller() {
	defer c.wg.Done()
	var l *link
	for a := range c.work {
		l = c.usable(l)
		if l == nil && c.away.Load() {
			c.ledger.ended(a.id, Left, "sent elsewhere", "")
			continue
		}
		if l == nil {
			l = c.link(a.id)
		}
		on := l != nil && c.play(l, a)
		if l != nil && l.crossed { // it is sent once more, on a new connection
			c.unlink(l)
			c.mu.Lock()
			c.resent++
			c.mu.Unlock()
			a.habit = ""
			l = c.link(a.id)
			on = l != nil && c.play(l, a)
		}
		if !on && l != nil {
			c.unlink(l)
			l = nil
		}
	}
	if l != nil {
		c.unlink(l)
	}
}

// link connects; nil says that the request could not be sent.
func (c *callers) link(id string) *link {
	addr := c.addr
	var nc net.Conn
	var err error
	for range frontTries { // the front goes on to the next where nobody listens
		if c.pick != nil {
			addr = c.pick()
		}
		if nc, err = net.DialTimeout("tcp", addr, 2*time.Second); err == nil || c.pick == nil {
			break
		}
	}
	if err != nil {
		c.ledger.ended(id, Lost, "connect: "+err.Error(), "")
		return nil
	}
	c.linked.Add(1)
	return newLink(nc, addr)
}

func (c *callers) unlink(l *link) {
	l.Close()
	c.linked.Add(-1)
}

// usable looks whether a kept connection is open and silent.
func (c *callers) usable(l *link) *link {
	if l == nil || l.r.Pending() == 0 && tcp.OpenWithoutData(l.Conn) {
		return l
	}
	c.mu.Lock()
	c.reopens++
	c.mu.Unlock()
	c.unlink(l)
	return nil
}

// play sends a request and reads its answer, and tells whether the connection can be used again.
func (c *callers) play(l *link, a arrival) bool {
	class := c.s.Classes[a.class]
	l.asked = time.Now()
	l.SetDeadline(time.Now().Add(time.Duration(class.Deadline*float64(time.Second)) + overdueAfter))
	text := request(l.addr, a.id, class)
	var err error
	next := ""
	switch a.habit {
	case "split":
		at := 1 + int(a.draw*float64(len(text)-1))
		if _, err = io.WriteString(l, text[:at]); err == nil {
			time.Sleep(time.Duration(1+a.draw*80) * time.Millisecond)
			_, err = io.WriteString(l, text[at:])
		}
	case "pipeline":
		next = reverse(a.id)
		c.ledger.asked(next, class.Name, time.Now())
		_, err = io.WriteString(l, text+request(l.addr, next, class))
	default:
		_, err = io.WriteString(l, text)
	}
	if err != nil {
		c.lost(l, a.id, "write: "+err.Error())
		if next != "" {
			c.ledger.ended(next, Left, "", "")
		}
		return false
	}
	if a.habit == "leave" {
		time.Sleep(time.Duration(a.draw*class.WorkMS) * time.Millisecond)
		c.ledger.ended(a.id, Left, "", "")
		return false
	}
	on := c.answer(l, a.id, a.habit == "slow")
	if next != "" {
		if !on {
			c.ledger.ended(next, Left, "", "")
			return false
		}
		on = c.answer(l, next, false)
	}
	if on && l.r.Pending() > 0 {
		c.ledger.answeredAgain(a.id)
		return false
	}
	return on
}

// lost enters a request whose connection ended. On a kept connection a close may cross a request that was not read, and
// its caller asks again; in a drain the front has it ask elsewhere. One that reached a worker was read.
func (c *callers) lost(l *link, id, detail string) {
	switch {
	case c.excuse != nil && c.excuse(l.addr, l.asked):
		c.ledger.ended(id, Left, "its dispatcher was killed or stopped", "")
	case !l.kept || c.ledger.wasSent(id):
		c.ledger.ended(id, Lost, detail, "")
	case c.drains.Load():
		c.ledger.ended(id, Left, "crossed a close", "")
	default:
		l.crossed = true
	}
}

func request(addr, id string, class Class) string {
	body := strings.Repeat("q", max(2, class.BodyBytes))
	key := ""
	if class.Effect == "deduplicated" {
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		addr, id, class.Name, class.Deadline, key, len(body), body)
}

func reverse(id string) string {
	b := []byte(id)
	for i, j := 0, len(b)-1; i < j; i, j = i+1, j-1 {
		b[i], b[j] = b[j], b[i]
	}
	return "b" + string(b)
}

// answer reads one answer.
func (c *callers) answer(l *link, id string, slow bool) bool {
	var resp fasthttp.Response
	r := l.r.Reader
	if slow {
		r = bufio.NewReaderSize(slowly{l.r}, 512)
	}
	if err := l.r.Cause(resp.Read(r)); err != nil {
		var late net.Error
		var invalid *responsecheck.InvalidResponseError
		switch {
		case errors.As(err, &invalid):
			c.ledger.ended(id, Lost, err.Error(), "")
		case errors.As(err, &late) && late.Timeout() && (c.excuse == nil || !c.excuse(l.addr, l.asked)):
			c.ledger.ended(id, Overdue, err.Error(), "")
		default:
			c.lost(l, id, "read: "+err.Error())
		}
		return false
	}
	l.kept = true
	switch code := resp.StatusCode(); code {
	case 200:
		c.ledger.ended(id, Answered, "", string(resp.Body()))
	case 429, 503:
		reason := fmt.Sprintf("%s, Retry-After %q", strings.TrimSpace(string(resp.Body())), resp.Header.Peek("Retry-After"))
		c.ledger.ended(id, Refused, reason, "")
	default:
		c.ledger.ended(id, Failed, fmt.Sprint(code, " ", strings.TrimSpace(string(resp.Body()))), "")
	}
	return !resp.ConnectionClose()
}

// slowly hands on a little at a time, with pauses.
type slowly struct{ r io.Reader }

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.r.Read(p[:min(len(p), 512)])
}
