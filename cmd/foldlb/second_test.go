package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// What the protocol has that the first deployment never uses, over real sockets: tenants, labels, retries that are marked, zones of five, lists
// that are pushed, priorities, progress, jobs that are lost or handed back, and no pause told with a refusal.

// secondSite is a configuration's text.
func secondSite(listen, discovery string, known ...string) string {
	return `{"listen":"` + listen + `","discovery":"` + discovery + `","limits":{"sockets":256},
 "known":{"version":1,"full":true,"servers":[` + strings.Join(known, ",") + `]},
 "settings":{"balancers":1,"registry_mode":"pushed","zone":"c","zones":["a","b","c","d","e"],
 "allowed":{"cancel":true,"max_attempts":4,"probing":true,"retry_after":false,"max_retry_after_s":2},
 "customers":[{"name":"small","share":0.01,"quota_per_s":0.01},{"name":"large","share":0.99,"quota_per_s":1000}],"over_share_worth":0.1,
 "prices":{"cross_zone":0.01,"waste":0.059,"probe":0.0034},
 "family_info":{"tells_start":true,"progress_s":1,"class_priority":[1,0],"class_stretch":[2,2.5]},
 "contract":{"cold_share":0.14,"overload_factor":3,"tip_after_s":2,"warm_within_s":23,"drain_grace_s":0.5},
 "classes":[{"name":"payout","effect":"at_most_once","aim_s":0.2,"deadline_s":5,"worth":8},
 {"name":"claim-check","effect":"idempotent","aim_s":0.2,"deadline_s":5,"worth":1}]}}`
}

// reports answers a job with call-backs of the states given, the last with a result.
func reports(states ...string) play {
	return func(w *world, h *worker, c *fasthttp.RequestCtx) {
		id := string(c.Request.Header.Peek("X-Txn"))
		c.SetStatusCode(fasthttp.StatusAccepted)
		go func() {
			for _, s := range states {
				w.callBack(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"share":0.5,"result":"quote of %s"}`, id, h.id, s, h.id))
			}
		}()
	}
}

// TestSecondSitesJobs: whatever the states tell, each request has one answer, and what may have run is repeated only where its class allows.
func TestSecondSitesJobs(t *testing.T) {
	for _, tc := range []struct {
		name, class string
		play        play
		status      int
		jobs        int // that reach the two workers
	}{
		{"progress", "payout", reports("started", "running", "running", "done"), 200, 1},
		{"done before it is told to have started", "payout", reports("done", "started"), 200, 1},
		{"a payout that is lost", "payout", reports("started", "lost"), 502, 1},
		{"a payout that fails", "payout", reports("failed"), 502, 1},
		{"a payout that is handed back", "payout", reports("returned"), 503, 0},
		{"a claim that is lost", "claim-check", reports("started", "lost"), 0, 2},
	} {
		w := startOn(t, secondSite, active, tc.play, tc.play)
		status, body := w.call("r", tc.class, "5")
		if tc.status != 0 && status != tc.status || status == 200 && !strings.HasPrefix(body, "quote of ") {
			t.Errorf("%s: answered %d %q, want %d", tc.name, status, body, tc.status)
		}
		if n := w.jobs(); tc.jobs != 0 && n < tc.jobs || tc.class == "payout" && tc.jobs == 1 && n > 1 {
			t.Errorf("%s: %d jobs reached the workers", tc.name, n)
		}
	}
}

// TestSecondSitesHeaders: all that a caller's request carries is taken, passed on as the protocol says, or refused with the header's name.
func TestSecondSitesHeaders(t *testing.T) {
	seen := make(chan string, 8)
	w := startOn(t, secondSite, active, func(w *world, h *worker, c *fasthttp.RequestCtx) {
		r := &c.Request
		seen <- fmt.Sprintf("%s %s id=%s key=%s body=%s", r.Header.Method(), r.RequestURI(), r.Header.Peek("X-Txn"), r.Header.Peek("Idempotency-Key"), r.Body())
		if string(r.Header.Peek("X-Remaining")) == "" {
			t.Error("the worker is not told how long the dispatcher waits")
		}
		done(w, h, c)
	})
	resp, err := w.post("/api/claims?kind=travel", "the body", "X-Txn", "r1", "X-Lane", "claim-check", "X-Remaining", "4.5", "X-Org", "large", "X-Labels",
		"slots=2, memory=0.5,other=x", "X-Resent", "1", "Idempotency-Key", "k-1", "X-Entity", "7f3a9c21e0b4d655")
	if err != nil || resp.StatusCode() != 200 || string(resp.Body()) != "quote of a" {
		t.Fatalf("answered %v %v", resp, err)
	}
	if got, want := <-seen, "POST /api/claims?kind=travel id=r1 key=k-1 body=the body"; got != want {
		t.Errorf("the worker got %q, want %q", got, want)
	}
	for header, value := range map[string]string{"X-Labels": "slots", "X-Remaining": "-1", "X-Txn": "a/b", "X-Lane": "no-such"} {
		headers := map[string]string{"X-Txn": "r2", "X-Lane": "claim-check", "X-Remaining": "1"}
		headers[header] = value
		var list []string
		for k, v := range headers {
			list = append(list, k, v)
		}
		if resp, err := w.post("/api", "", list...); err != nil || resp.StatusCode() != 400 {
			t.Errorf("%s: %q is answered %v %v", header, value, resp, err)
		}
	}
	if n := len(seen); n != 0 {
		t.Errorf("%d bad requests were passed on", n)
	}
}

// TestSecondSitesShares: where the fleet is full, a tenant over its share is turned away at once, without a pause; one within it waits.
func TestSecondSitesShares(t *testing.T) {
	w := startOn(t, secondSite, active, take) // takes all and starts nothing
	answers := make(chan int, 64)
	ask := func(id, org string) {
		resp, err := w.post("/api", "", "X-Txn", id, "X-Lane", "claim-check", "X-Remaining", "5", "X-Org", org)
		if err != nil {
			answers <- 0
			return
		}
		if resp.Header.Peek("Retry-After") != nil {
			t.Error("a pause is told, which these settings don't allow")
		}
		answers <- resp.StatusCode()
	}
	go ask("first", "large") // from when it has waited for 20 ms on, the only worker counts as full
	until := time.After(patience)
	for n := 0; ; n++ {
		go ask(fmt.Sprint("s", n), "small")
		select {
		case status := <-answers:
			if status != 503 && status != 429 {
				t.Fatalf("answered %d", status)
			}
		case <-time.After(50 * time.Millisecond): // it was let in, while the worker did not count as full yet, or the share not as used up
			continue
		case <-until:
			t.Fatal("no job over its tenant's share is turned away")
		}
		break
	}
	// All is as it was, but for the tenant.
	before := w.jobs()
	go ask("within", "large")
	for w.jobs() == before {
		select {
		case status := <-answers:
			t.Fatalf("one within its share is answered %d", status)
		case <-time.After(10 * time.Millisecond):
		case <-until:
			t.Fatal("one within its share reaches nobody")
		}
	}
}

// TestSecondSitesAgent: an agent that refuses is asked again after a pause that grows, and goes on being watched once it is back.
func TestSecondSitesAgent(t *testing.T) {
	w := startOn(t, secondSite, active, done)
	begun := time.Now()
	for range 3 {
		w.lists <- "" // refused
		<-w.watches
	}
	if pauses := time.Since(begun); pauses < 300*time.Millisecond { // half of a sixteenth of ten seconds, and more the second time
		t.Errorf("asked three times within %v", pauses)
	}
	w.lists <- `{"version":2,"full":false,"servers":[]}`
	<-w.watches
	select {
	case <-w.watches:
	case <-time.After(patience):
		t.Error("the agent is not watched any more")
	}
}

// TestSecondSitesLists: lists are pushed, with workers of five zones; one that drains gets nothing new.
func TestSecondSitesLists(t *testing.T) {
	w := startOn(t, secondSite, active, done, done)
	far := strings.ReplaceAll(w.entry(w.workers[1], active), `"zone":"a"`, `"zone":"e"`)
	w.lists <- `{"version":2,"full":false,"servers":[` + w.entry(w.workers[0], `"state":"leaving"`) + `,` + far + `]}`
	for i, want := range []string{"since=1&", "since=2&"} { // the second call: the first one's answer was taken
		select {
		case uri := <-w.asked:
			if !strings.Contains(uri, want) {
				t.Fatalf("call %d to the agent is %q", i, uri)
			}
		case <-time.After(patience):
			t.Fatal("the agent that lists are pushed to is not watched")
		}
	}
	n := 0
	for until := time.Now().Add(patience); n < 5 && time.Now().Before(until); { // the answer is passed on behind the call
		status, body := w.call(fmt.Sprint("r", time.Now().UnixNano()), "claim-check", "5")
		if status == 200 && body == "quote of b" {
			n++
		} else {
			n = 0
		}
	}
	if n < 5 {
		t.Error("a worker that drains gets jobs still")
	}
}
