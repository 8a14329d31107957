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

// When news count as told, whether they came or not: told within so long after discovery had them and could be reached, whatever became of
// the calls before.
const newsWithin = 6 * time.Second

// How long calls may take. Danger: a watch may fall silent at any moment and say nothing of that. From a change on that it does not tell, it goes
// unnoticed for watchWait + watchGrace, and is opened anew at once: that has to be over within newsWithin.
const (
	watchWait  = 4 * time.Second         // that a watch asks discovery to wait for news
	watchGrace = time.Second             // beyond that, for an answer on its way and a discovery that handles calls in turn
	firstWait  = 50 * time.Millisecond   // that the first call of a watch asks it to wait: what is new already is told at once, and that nothing is
	answerWait = 2500 * time.Millisecond // for a call that does not wait: discovery gives a call up after 2 s
	dialWait   = time.Second             // for a connection to it
)

const (
	mostList    = 8 << 20 // bytes of a list
	listPath    = "/v1/servers"
	serviceHost = "discovery"
)

// noticed tells after what time a call is taken for lost that asks discovery to wait so long for news; 0 for one that does not wait.
func noticed(wait time.Duration) time.Duration {
	if wait <= firstWait {
		return wait + answerWait
	}
	return wait + watchGrace
}

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
			link, err := c.ask(ctx, nil, w.Source, w.Since, firstWait)
			c.follow(ctx, link, err, w.Source, w.Since)
		})
	}
}

// Fetch asks a source for the whole list, once. It does not block.
func (c *Client) Fetch(f core.FetchRouteSet) {
	c.gate.Go(func() {
		link, err := c.ask(context.Background(), nil, f.Source, core.VersionUnknown, 0)
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
func (c *Client) CallCounts() (calls, failures uint64) { return c.asked.Load(), c.failed.Load() }

func (c *Client) refused(from core.Source, err error) {
	c.failed.Add(1)
	c.log.WithError(err).WithField("discovery", from.Addr).Warn("discovery refused")
	c.post(core.RouteSetRefused{Source: from})
}

// follow reads the answers of a watch and asks again and again, on one connection of its own. The next call is
// written before the last answer is passed on: discovery takes a watch that is not renewed within 200 ms for a new
// one. A watch that breaks or falls silent after it has told something is opened anew at once, since what it misses counts as told soon; one
// that tells nothing at all is refused, and asked for again when the decision module says so.
func (c *Client) follow(ctx context.Context, link *conn, err error, from core.Source, since int64) {
	for {
		var told bool
		told, since, err = c.hear(ctx, link, err, from, since)
		if !told || ctx.Err() != nil {
			break
		}
		c.failed.Add(1)
		c.log.WithError(err).WithField("discovery", from.Addr).Warn("watch of discovery broken, opened anew")
		link, err = c.ask(ctx, nil, from, since, firstWait)
	}
	c.waits(ctx, nil)
	if ctx.Err() == nil {
		c.refused(from, err)
	}
}

// hear reads the answers of a watch until one fails, and returns whether there was one and the version that is held then.
func (c *Client) hear(ctx context.Context, link *conn, err error, from core.Source, since int64) (told bool, _ int64, _ error) {
	for err == nil {
		c.waits(ctx, &watch{link, from, since})
		var set core.RouteSet
		if set, err = link.answer(); err != nil {
			link.Close()
			break
		}
		told, since = true, set.Version
		link, err = c.ask(ctx, link, from, since, c.wait)
		c.post(core.RouteSetTold{Source: from, RouteSet: set})
	}
	return told, since, err
}

// waits notes the call that a watch waits on, unless another watch has taken its place.
func (c *Client) waits(ctx context.Context, w *watch) {
	c.mu.Lock()
	if ctx.Err() == nil {
		c.watch = w
	}
	c.mu.Unlock()
}

// ask writes the next call, on a new connection where discovery has closed the last one. From an unknown version on it does not wait for news.
func (c *Client) ask(ctx context.Context, link *conn, from core.Source, since int64, wait time.Duration) (*conn, error) {
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
	if err := link.ask(target, noticed(wait)); err != nil {
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
	d := net.Dialer{Timeout: dialWait}
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
	c.MarkConsumed(c.r.Buffered())
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
