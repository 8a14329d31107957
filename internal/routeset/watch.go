package routeset

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/responsecheck"
)

// maxUpdateDelay is the time after which an update counts as delivered, from when discovery had it and was reachable, whatever happened to
// earlier calls.
const maxUpdateDelay = 6 * time.Second

// Time-outs of calls. A watch may stop responding at any moment without an error. This is detected longPollWait + longPollGrace after the call
// at the latest, and a new watch is opened immediately: all of that must fit into maxUpdateDelay.
const (
	longPollWait  = 4 * time.Second         // how long discovery is asked to hold a watch call until there is an update
	longPollGrace = time.Second             // additional time for the response to arrive, also if discovery handles calls one after another
	firstPollWait = 50 * time.Millisecond   // wait of the first call of a watch, which thus quickly returns existing updates or that there are none
	replyTimeout  = 2500 * time.Millisecond // of a call that doesn't wait; discovery aborts a call after 2 s
	dialTimeout   = time.Second             // to connect to discovery
)

const (
	maxListBytes = 8 << 20 // of a response body
	listPath     = "/v1/servers"
	serviceHost  = "discovery"
)

// callTimeout returns the time-out of a call that asks discovery to wait for updates; wait is 0 for a call that doesn't wait.
func callTimeout(wait time.Duration) time.Duration {
	if wait <= firstPollWait {
		return wait + replyTimeout
	}
	return wait + longPollGrace
}

// Client fetches and watches the lists of the sources that it is given. It passes updates to post as events, with the
// source.
type Client struct {
	post func(core.Event)
	log  logrus.FieldLogger
	wait time.Duration // longPollWait, or shorter in tests

	gate *hold.Gate

	callCount, failureCount atomic.Uint64

	mu    sync.Mutex
	stop  context.CancelFunc // ends the running watch
	watch *watch             // the pending call of the running watch, once written
}

// watch is a pending call of a watch.
type watch struct {
	link  *conn
	from  core.Source
	since int64
}

// NewClient returns a client whose connections and goroutines are controlled by the gate. post must not block.
func NewClient(gate *hold.Gate, post func(core.Event), log logrus.FieldLogger) *Client {
	return &Client{gate: gate, post: post, log: log, wait: longPollWait}
}

// Watch stops the running watch and, if w.On is set, starts watching w.Source. It doesn't block.
func (c *Client) Watch(w core.Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil {
		c.stop()
		c.stop, c.watch = nil, nil
	}
	if w.On {
		ctx, stop := context.WithCancel(context.Background())
		c.stop = stop
		c.gate.Go(func() {
			link, err := c.request(ctx, nil, w.Source, w.Since, firstPollWait)
			c.follow(ctx, link, err, w.Source, w.Since)
		})
	}
}

// Fetch requests the whole list of a source once. It doesn't block.
func (c *Client) Fetch(f core.FetchRouteSet) {
	c.gate.Go(func() {
		link, err := c.request(context.Background(), nil, f.Source, core.VersionUnknown, 0)
		if err == nil {
			defer link.Close()
			var set core.RouteSet
			if set, err = link.readResponse(); err == nil {
				c.post(core.RouteSetTold{Source: f.Source, RouteSet: set})
				return
			}
		}
		c.reportFailure(f.Source, err)
	})
}

// CallCounts returns the number of calls sent to discovery, and of calls and connection attempts that failed.
func (c *Client) CallCounts() (calls, failures uint64) {
	return c.callCount.Load(), c.failureCount.Load()
}

func (c *Client) reportFailure(from core.Source, err error) {
	c.failureCount.Add(1)
	c.log.WithError(err).WithField("discovery", from.Addr).Warn("call to discovery failed")
	c.post(core.RouteSetRefused{Source: from})
}

// follow runs a watch: it reads responses and sends further calls on a connection of its own. The next call is sent before the last response is
// passed on, because discovery treats a watch that isn't renewed within 200 ms as a new one. A watch that fails or times out after it has
// received a response is reopened immediately, since the updates that it misses count as delivered soon. One that has received none is reported
// as refused, and opened again when the decision module requests it.
func (c *Client) follow(ctx context.Context, link *conn, err error, from core.Source, since int64) {
	for {
		var received bool
		received, since, err = c.readUpdates(ctx, link, err, from, since)
		if !received || ctx.Err() != nil {
			break
		}
		c.failureCount.Add(1)
		c.log.WithError(err).WithField("discovery", from.Addr).Warn("watch of discovery failed; reopening it")
		link, err = c.request(ctx, nil, from, since, firstPollWait)
	}
	c.setPending(ctx, nil)
	if ctx.Err() == nil {
		c.reportFailure(from, err)
	}
}

// readUpdates reads the responses of a watch until one fails, and returns whether any was received and the latest version.
func (c *Client) readUpdates(ctx context.Context, link *conn, err error, from core.Source, since int64) (received bool, _ int64, _ error) {
	for err == nil {
		c.setPending(ctx, &watch{link, from, since})
		var set core.RouteSet
		if set, err = link.readResponse(); err != nil {
			link.Close()
			break
		}
		received, since = true, set.Version
		link, err = c.request(ctx, link, from, since, c.wait)
		c.post(core.RouteSetTold{Source: from, RouteSet: set})
	}
	return received, since, err
}

// setPending sets the pending call of a watch, unless the watch was replaced.
func (c *Client) setPending(ctx context.Context, w *watch) {
	c.mu.Lock()
	if ctx.Err() == nil {
		c.watch = w
	}
	c.mu.Unlock()
}

// request sends the next call, on a new connection if discovery closed the last one. With an unknown version it doesn't wait for updates.
func (c *Client) request(ctx context.Context, link *conn, from core.Source, since int64, wait time.Duration) (*conn, error) {
	if link == nil || link.closes {
		if link != nil {
			link.Close()
		}
		var err error
		if link, err = c.dial(ctx, from.Addr); err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { link.Close() })
	}
	target := listPath
	if since != core.VersionUnknown {
		target = watchTarget(since, wait)
	} else {
		wait = 0
	}
	if err := link.request(target, callTimeout(wait)); err != nil {
		link.Close()
		return nil, err
	}
	c.callCount.Add(1)
	return link, nil
}

func watchTarget(since int64, wait time.Duration) string {
	return listPath + "?since=" + strconv.FormatInt(since, 10) +
		"&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// conn is a connection to discovery.
type conn struct {
	*hold.Conn
	r      *responsecheck.Reader
	closes bool // discovery closes it after its last response
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c.gate.Rest() // no call is pending yet: if the gate is held, the other process connects itself
	nc, err := d.DialContext(ctx, "tcp", addr)
	c.gate.Wake()
	if err != nil {
		return nil, fmt.Errorf("connect to discovery: %w", err)
	}
	return newConn(c.gate.Wrap(nc)), nil
}

func newConn(c *hold.Conn) *conn {
	return &conn{Conn: c, r: responsecheck.NewReader(c, http.MethodGet)}
}

// request sends a call, whose response must arrive within the wait.
func (c *conn) request(target string, wait time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(serviceHost)
	req.Header.SetRequestURI(target)
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	// The call is sent by a single write, since another process couldn't complete a partial one.
	var text bytes.Buffer
	w := bufio.NewWriter(&text)
	if err := errors.Join(req.Write(w), w.Flush()); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	if _, err := c.Write(text.Bytes()); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	return nil
}

// readResponse reads the response to the last call. It returns a responsecheck.InvalidResponseError for bytes that are not a response.
func (c *conn) readResponse() (core.RouteSet, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.r.Cause(resp.ReadLimitBody(c.r.Reader, maxListBytes)); err != nil {
		return core.RouteSet{}, fmt.Errorf("discovery's answer: %w", err)
	}
	c.MarkConsumed(c.r.Pending())
	c.closes = resp.ConnectionClose()
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return core.RouteSet{}, fmt.Errorf("discovery's answer: status %d", code)
	}
	set, err := Parse(resp.Body())
	if err != nil {
		return set, fmt.Errorf("discovery's answer: %w", err)
	}
	return set, nil
}
