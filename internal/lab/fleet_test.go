package lab

import (
	"strings"
	"testing"
	"time"
)

// squadOf is a fleet of members that run and hold one view, settled long ago.
func squadOf(n int) *squad {
	q := &squad{links: &Links{pairs: map[[2]int]Link{}}, begin: time.Now().Add(-time.Minute), lastAt: time.Now().Add(-30 * time.Second), faultAt: time.Now().Add(-10 * time.Second),
		last: Settling{What: "begin", Most: 1}, s: &Scenario{Audit: true}}
	for i := range n {
		q.peers = append(q.peers, &peer{name: "n" + string(rune('1'+i)), no: i, up: true, since: time.Now().Add(-time.Minute), most: map[string]uint64{}})
	}
	for _, p := range q.peers {
		p.view = seen{Digest: "d", Acting: n, at: time.Now()}
		for _, x := range q.peers {
			p.view.Members = append(p.view.Members, seenMember{Name: x.name, State: "serving", Incarnation: 5, Self: x == p})
		}
	}
	return q
}

// TestFleetsJudgeFindsWhatIsWrong: each promise of the view can be broken, and then is.
func TestFleetsJudgeFindsWhatIsWrong(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(q *squad)
		want  string
	}{
		"all well": {func(*squad) {}, ""},
		"a late verdict on waking": {func(q *squad) {
			q.last, q.lastAt = Settling{What: "wake n1", Most: 10}, time.Now().Add(-time.Second)
			q.peers[2].view.Members[0].State = "failed"
		}, ""},
		"a verdict without a cause": {func(q *squad) {
			q.last, q.lastAt = Settling{What: "links", Most: 10}, time.Now().Add(-time.Second)
			q.peers[2].view.Members[0].State = "failed"
		}, "without a cause"},
		"two views":                  {func(q *squad) { q.peers[1].view.Digest = "e" }, "holds another view"},
		"a live one held for failed": {func(q *squad) { q.peers[2].view.Members[0].State = "failed" }, "n3 holds n1, which runs and is reached, for \"failed\""},
		"a live one not known":       {func(q *squad) { q.peers[0].view.Members = q.peers[0].view.Members[:2] }, "for \"\""},
		"a dead one held for alive":  {func(q *squad) { q.peers[1].up = false }, "which does not run, for \"serving\""},
		"one out of reach for serving": {func(q *squad) {
			q.links.pairs[[2]int{0, 1}] = Link{Cut: true}
			q.links.pairs[[2]int{2, 1}] = Link{Cut: true}
		}, "which it can't reach"},
		"pairs that don't meet":    {func(q *squad) { q.links.pairs[[2]int{0, 1}] = Link{Cut: true} }, ""},
		"no answer":                {func(q *squad) { q.peers[0].view.at = time.Now().Add(-time.Minute) }, "does not say what it holds"},
		"an incarnation goes back": {func(q *squad) { q.peers[0].most["n2"] = 9 }, "holds incarnation 5 of n2 after 9"},
		"a count that is too low": {func(q *squad) {
			q.peers[0].view.Acting = 2
			q.peers[0].most = map[string]uint64{"n1": 1, "n2": 1, "n3": 1}
		}, "counts 2 that may be acting, and 3 that it has met run"},
		"a configuration that goes back": {func(q *squad) {
			q.peers[1].acted = 3
			q.peers[1].view.Members[1].Config.No = 2
		}, "n2 acts on configuration 2 after 3"},
		"a straggler that nobody brings up": {func(q *squad) {
			q.lastAt = time.Now().Add(-time.Minute)
			q.peers[0].view.Members[0].Config.No = 2
			q.peers[2].behind = time.Now().Add(-bounds["straggler"] - time.Second)
		}, "n3 acts on configuration 0, 7.0 s after it reaches one that acts on 2"},
		"a straggler that is cut off": {func(q *squad) {
			q.peers[0].view.Members[0].Config.No = 2
			for i := range 2 {
				q.links.pairs[[2]int{i, 2}] = Link{Cut: true}
				q.peers[i].view.Members[2].State, q.peers[2].view.Members[i].State = "failed", "failed"
			}
		}, ""},
		"an upgrade taken for a failure": {func(q *squad) {
			q.peers[1].calm = time.Now().Add(time.Second)
			q.peers[0].view.Members[1].State = "gone"
		}, "holds n2 for gone while that is only upgraded"},
	} {
		q := squadOf(3)
		tc.spoil(q)
		q.check()
		got := strings.Join(q.out.Broken, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestFaultsAreDrawnBySeed, the same for the same seed, and each has an end.
func TestFaultsAreDrawnBySeed(t *testing.T) {
	f := &Faults{From: 10, Every: 5, Until: 400}
	s := &Scenario{Dispatchers: 5}
	a, b, other := f.draw(s, 1), f.draw(s, 1), f.draw(s, 2)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	same := len(a) == len(other)
	open := map[string]int{}
	for i, e := range a {
		if e.Kind != b[i].Kind || e.At != b[i].At || e.Dispatcher != b[i].Dispatcher {
			t.Fatalf("%+v and %+v", e, b[i])
		}
		same = same && e.At == other[i].At
		switch e.Kind {
		case "kill", "leave":
			open[e.Dispatcher]++
		case "start":
			open[e.Dispatcher]--
		case "cut", "apart", "links":
			open["links"] = 1
		case "heal":
			open["links"] = 0
		}
	}
	for what, n := range open {
		if n != 0 {
			t.Errorf("%s is left as it was broken", what)
		}
	}
	if same {
		t.Error("another seed draws the same")
	}
}
