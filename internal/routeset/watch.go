package routeset

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

const (
	watchWait  = 20 * time.Second        // how long a watch may wait for news
	answerWait = 2500 * time.Millisecond // for a call that does not wait, and for dialling: discovery gives a call up after 2 s
	// Danger: 2 s after a watch's wait its news count as told, whether they came or not. A watch that has fallen
	// silent must be noticed early enough to ask again before that.
	watchGrace  = time.Second
	mostList    = 8 << 20 // bytes of a list
	listPath    = "/v1/servers"
	serviceHost = "discovery"
)

// Client reads and watches the lists of the sources that it is given. Its news go to post as events, with
// the source that told them.
type Client struct {
	post func(core.Event)
	log  logrus.FieldLogger
	wait time.Duration // that a watch is asked to wait for news

	gate *hold.Gate

	asked, failed atomic.Uint64

	mu    sync.Mutex
	stop  context.CancelFunc // ends the running watch
	watch *watch             // the running one, once its call is written
}

// watch is a call that waits for news.
type watch struct {
	link  *conn
	from  core.Source
	since int64
}

// NewClient makes a client of discovery, with its connections behind the gate.
func NewClient(gate *hold.Gate, post func(core.Event), log logrus.FieldLogger) *Client {
	return &Client{gate: gate, post: post, log: log, wait: watchWait}
}

// Watch follows a source's list, in place of any earlier watch, or ends that. It does not block.
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
			link, err := c.ask(ctx, nil, w.Source, w.Since)
			c.follow(ctx, link, err, w.Source, w.Since)
		})
	}
}

// Fetch asks a source for the whole list, once. It does not block.
func (c *Client) Fetch(f core.FetchRouteSet) {
	c.gate.Go(func() {
		link, err := c.ask(context.Background(), nil, f.Source, core.VersionUnknown)
		if err == nil {
			defer link.Close()
			var set core.RouteSet
			if set, err = link.answer(); err == nil {
				c.post(core.RouteSetTold{Source: f.Source, RouteSet: set})
				return
			}
		}
		c.refused(f.Source, err)
	})
}

// Asked counts the calls written to discovery, and those of them and of the dials that failed.
func (c *Client) Asked() (calls, failures uint64) { return c.asked.Load(), c.failed.Load() }

func (c *Client) refused(from core.Source, err error) {
	c.failed.Add(1)
	c.log.WithError(err).WithField("discovery", from.Addr).Warn("discovery refused")
	c.post(core.RouteSetRefused{Source: from})
}

// follow reads the answers of a watch and asks again and again, on one connection of its own. The next call is
// written before the last answer is passed on: discovery takes a watch that is not renewed within 200 ms for a new
// one.
func (c *Client) follow(ctx context.Context, link *conn, err error, from core.Source, since int64) {
	for err == nil {
		c.waits(ctx, &watch{link, from, since})
		var set core.RouteSet
		if set, err = link.answer(); err != nil {
			link.Close()
			break
		}
		since = set.Version
		link, err = c.ask(ctx, link, from, since)
		c.post(core.RouteSetTold{Source: from, RouteSet: set})
	}
	c.waits(ctx, nil)
	if ctx.Err() == nil {
		c.refused(from, err)
	}
}

// waits notes the call that a watch waits on, unless another watch has taken its place.
func (c *Client) waits(ctx context.Context, w *watch) {
	c.mu.Lock()
	if ctx.Err() == nil {
		c.watch = w
	}
	c.mu.Unlock()
}

// ask writes the next call, on a new connection where discovery has closed the last one.
func (c *Client) ask(ctx context.Context, link *conn, from core.Source, since int64) (*conn, error) {
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
	target, wait := listPath, answerWait
	if since != core.VersionUnknown {
		target, wait = watchTarget(since, c.wait), c.wait+watchGrace
	}
	if err := link.ask(target, wait); err != nil {
		link.Close()
		return nil, err
	}
	c.asked.Add(1)
	return link, nil
}

func watchTarget(since int64, wait time.Duration) string {
	return listPath + "?since=" + strconv.FormatInt(since, 10) +
		"&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// conn is a connection to discovery.
type conn struct {
	*hold.Conn
	r      *bufio.Reader
	closes bool // discovery closes it after its last answer
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: answerWait}
	c.gate.Rest() // nothing is asked yet: where the gate is held the other process dials anew
	nc, err := d.DialContext(ctx, "tcp", addr)
	c.gate.Wake()
	if err != nil {
		return nil, fmt.Errorf("connect to discovery: %w", err)
	}
	return newConn(c.gate.Wrap(nc)), nil
}

func newConn(c *hold.Conn) *conn { return &conn{Conn: c, r: bufio.NewReader(c)} }

// ask writes a call whose answer must be there within the wait.
func (c *conn) ask(target string, wait time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(serviceHost)
	req.Header.SetRequestURI(target)
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	// Danger: a call that went out in parts could not be finished by another process.
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

// answer reads the answer to the last call.
func (c *conn) answer() (core.RouteSet, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, mostList); err != nil {
		return core.RouteSet{}, fmt.Errorf("discovery's answer: %w", err)
	}
	c.Mark(c.r.Buffered())
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
