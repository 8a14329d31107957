package lab

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Roster is a stand-in for discovery: a list, and watches of what changes in it.
type Roster struct {
	Addr string

	mu      sync.Mutex
	version int64
	changed map[string]int64 // version of each worker's last change
	state   map[string]string
	began   map[string]time.Time // a start that it tells; none for one long ago
	workers []*Worker
	news    chan struct{} // closed at each change
	ln      net.Listener
	late    time.Time            // until then it tells nothing newer than what follows
	shown   int64                // version
	was     map[string]string    // states
	begun   int                  // how often it has begun anew
	owner   string               // the dispatcher that it tells; empty for all
	addrOf  func(*Worker) string // as this roster tells it; nil for the worker's own
	past    map[string][]told    // what it has ever told of each worker, in order
}

// told is a worker's state from a version on.
type told struct {
	begun   int // how often it has begun anew
	version int64
	state   string
}

func (r *Roster) start(workers []*Worker) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln, r.Addr, r.workers, r.version = ln, ln.Addr().String(), workers, 1
	r.changed, r.state, r.began, r.news = map[string]int64{}, map[string]string{}, map[string]time.Time{}, make(chan struct{})
	r.past = map[string][]told{}
	for _, w := range workers {
		r.changed[w.ID], r.state[w.ID] = 1, "active"
		r.past[w.ID] = []told{{0, 1, "active"}}
	}
	go (&fasthttp.Server{Handler: r.handle, NoDefaultServerHeader: true}).Serve(ln)
	return nil
}

func (r *Roster) handle(c *fasthttp.RequestCtx) {
	since, err := strconv.ParseInt(string(c.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		c.SetBodyString(r.list(-1))
		return
	}
	wait, _ := c.QueryArgs().GetUint("timeout_ms")
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		r.mu.Lock()
		version, _ := r.now()
		newer, news := version > since || version < since && since > 0, r.news
		r.mu.Unlock()
		if newer {
			if version < since { // it knows nothing of that number
				since = -1
			}
			c.SetBodyString(r.list(since))
			return
		}
		select {
		case <-news:
		case <-limit.C:
			c.SetBodyString(r.list(since))
			return
		}
	}
}

// list writes what is newer than a version; the whole list from -1 on.
func (r *Roster) list(since int64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	version, state := r.now()
	var entries []string
	for _, w := range r.workers {
		if s := state[w.ID]; (r.changed[w.ID] > since || since < 0) && (r.changed[w.ID] <= version || since < 0) && !(since < 0 && s == "left") {
			began := int64(0)
			if t, told := r.began[w.ID]; told {
				began = t.UnixMilli()
			}
			entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":1,"started_ms":%d}`,
				w.ID, r.addr(w), w.Zone, w.Kind, s, began))
		}
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, since < 0, strings.Join(entries, ","))
}

// now is what it tells; r.mu is held.
func (r *Roster) now() (version int64, state map[string]string) {
	if time.Now().Before(r.late) {
		return r.shown, r.was
	}
	return r.version, r.state
}

// lags has it tell nothing new for a time.
func (r *Roster) lags(most time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late, r.shown, r.was = time.Now().Add(most), r.version, maps.Clone(r.state)
	time.AfterFunc(most, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		close(r.news)
		r.news = make(chan struct{})
	})
}

// lateUntil is when it last told nothing newer, or will.
func (r *Roster) lateUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

func (r *Roster) addr(w *Worker) string {
	if r.addrOf != nil {
		return r.addrOf(w)
	}
	return w.Addr
}

// begins notes a worker's start, which is told with its next change.
func (r *Roster) begins(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began[id] = at
}

// again tells a worker anew, as it is: a newer version with the same contents.
func (r *Roster) again(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.changed[id] = r.version
	close(r.news)
	r.news = make(chan struct{})
}

// beginAnew forgets all numbers: it tells what holds under number 1, as a discovery does that was restarted. Its watches end.
func (r *Roster) beginAnew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun++
	r.version, r.late = 1, time.Time{}
	for id, state := range r.state {
		r.changed[id] = 1
		r.past[id] = append(r.past[id], told{r.begun, 1, state})
	}
	close(r.news)
	r.news = make(chan struct{})
}

// had is the state of a worker as of a version, of the times that the roster has begun anew; empty where it had none.
func (r *Roster) had(id string, begun int, version int64) (state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.past[id] {
		if t.begun == begun && t.version <= version {
			state = t.state
		}
	}
	return state
}

// content is what it tells, or would if it were not late: its version, and what that says.
func (r *Roster) content() (version int64, states string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.state)) {
		states += id + " " + r.state[id] + "\n"
	}
	return r.version, states
}

// set changes a worker's state and tells all who watch.
func (r *Roster) set(id, state string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.ID == id {
			r.version++
			r.changed[id], r.state[id] = r.version, state
			r.past[id] = append(r.past[id], told{r.begun, r.version, state})
			w.tellDrain(r.owner, state != "active")
			close(r.news)
			r.news = make(chan struct{})
			return nil
		}
	}
	return fmt.Errorf("no worker %q", id)
}
