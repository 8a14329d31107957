package routeset

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
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

	mu   sync.Mutex
	stop context.CancelFunc // ends the running watch
}

// NewClient makes a client of discovery.
func NewClient(post func(core.Event), log logrus.FieldLogger) *Client {
	return &Client{post: post, log: log, wait: watchWait}
}

// Watch follows a source's list, in place of any earlier watch, or ends that. It does not block.
func (c *Client) Watch(w core.Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
	if w.On {
		ctx, stop := context.WithCancel(context.Background())
		c.stop = stop
		go c.watch(ctx, w.Source, w.Since)
	}
}

// Fetch asks a source for the whole list, once. It does not block.
func (c *Client) Fetch(f core.FetchRouteSet) {
	go func() {
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
	}()
}

func (c *Client) refused(from core.Source, err error) {
	c.log.WithError(err).WithField("discovery", from.Addr).Warn("discovery refused")
	c.post(core.RouteSetRefused{Source: from})
}

// watch asks again and again on one connection of its own. The next call is written before the last answer
// is passed on: discovery takes a watch that is not renewed within 200 ms for a new one.
func (c *Client) watch(ctx context.Context, from core.Source, since int64) {
	link, err := c.ask(ctx, nil, from, since)
	for err == nil {
		var set core.RouteSet
		if set, err = link.answer(); err != nil {
			link.Close()
			break
		}
		since = set.Version
		link, err = c.ask(ctx, link, from, since)
		c.post(core.RouteSetTold{Source: from, RouteSet: set})
	}
	if ctx.Err() == nil {
		c.refused(from, err)
	}
}

// ask writes the next call, on a new connection where discovery has closed the last one.
func (c *Client) ask(ctx context.Context, link *conn, from core.Source, since int64) (*conn, error) {
	if link == nil || link.closes {
		if link != nil {
			link.Close()
		}
		var err error
		if link, err = dial(ctx, from.Addr); err != nil {
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
	return link, nil
}

func watchTarget(since int64, wait time.Duration) string {
	return listPath + "?since=" + strconv.FormatInt(since, 10) +
		"&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// conn is a connection to discovery.
type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	closes bool // discovery closes it after its last answer
}

func dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: answerWait}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to discovery: %w", err)
	}
	return &conn{Conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c)}, nil
}

// ask writes a call whose answer must be there within the wait.
func (c *conn) ask(target string, wait time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(serviceHost)
	req.Header.SetRequestURI(target)
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	if err := req.Write(c.w); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	if err := c.w.Flush(); err != nil {
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
