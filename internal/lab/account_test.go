package lab

import (
	"strings"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/audit/trail"
	"foldlb.example/foldlb/internal/membership"
)

// spanOf tells of ten branches in three seconds on a configuration and a route set.
func spanOf(no uint64, at float64, config, routes int64) trail.Entry {
	return trail.Entry{Member: "n1", Span: audit.Span{No: no, From: at, First: at, Last: at + 5, Until: at + 5, FirstSent: at, LastSent: at + 3,
		Versions: audit.Versions{Config: membership.Version{No: config}, Routes: membership.Version{No: routes}}, Counts: [audit.NumKinds]uint64{audit.Sent: 10, audit.Answered: 10}}}
}

// TestRecordsAreHeldAgainstWhatReachedWorkers: each claim of a record can be wrong, and is found.
func TestRecordsAreHeldAgainstWhatReachedWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		play  func(q *squad, p *peer) (spans []trail.Entry, arrived []reach)
		want  string
		match int
	}{
		"all well": {func(*squad, *peer) ([]trail.Entry, []reach) {
			return []trail.Entry{spanOf(1, 100, 1, 1), spanOf(2, 110, 1, 2)}, []reach{{101, "w"}, {103.1, "w"}, {110, "w"}}
		}, "", 3},
		"a worker that is out": {func(*squad, *peer) ([]trail.Entry, []reach) { // x is, as of 2
			return []trail.Entry{spanOf(1, 100, 1, 1), spanOf(2, 110, 1, 2)}, []reach{{112, "x"}}
		}, "no list was in force", 0},
		"nothing told": {func(*squad, *peer) ([]trail.Entry, []reach) {
			return []trail.Entry{spanOf(1, 100, 1, 1)}, []reach{{107, "w"}}
		}, "no span tells", 0},
		"nothing told by one that was killed": {func(_ *squad, p *peer) ([]trail.Entry, []reach) {
			p.killed = true
			return []trail.Entry{spanOf(1, 100, 1, 1)}, []reach{{107, "w"}}
		}, "", 0},
		"the list after the last span of one that was killed": {func(_ *squad, p *peer) ([]trail.Entry, []reach) {
			p.killed = true
			return []trail.Entry{spanOf(1, 100, 1, 2)}, []reach{{103.2, "x"}}
		}, "", 0},
		"a worker that is out, within a span of one that was killed": {func(_ *squad, p *peer) ([]trail.Entry, []reach) {
			p.killed = true
			return []trail.Entry{spanOf(1, 100, 1, 2)}, []reach{{102, "x"}}
		}, "no list was in force", 0},
		"too few told": {func(*squad, *peer) ([]trail.Entry, []reach) {
			var all []reach
			for range 11 {
				all = append(all, reach{102, "w"})
			}
			return []trail.Entry{spanOf(1, 100, 1, 1)}, all
		}, "of 10 branches in span 1, within which 11", 11},
		"before it was stated": {func(q *squad, _ *peer) ([]trail.Entry, []reach) {
			q.stated[2] = 101
			return []trail.Entry{spanOf(1, 100, 2, 1)}, nil
		}, "1.00 s before that was stated", 0},
		"written on waking": {func(q *squad, _ *peer) ([]trail.Entry, []reach) {
			q.asleep = []nap{{"n1", 104, 107}}
			return []trail.Entry{spanOf(1, 100, 1, 1)}, []reach{{107, "w"}}
		}, "", 0},
		"below a floor": {func(q *squad, _ *peer) ([]trail.Entry, []reach) {
			q.floors = []least{{2, 102.5}}
			return []trail.Entry{spanOf(1, 100, 1, 1)}, nil
		}, "until 0.5 s after the floor 2", 0},
		"an answer below a floor": {func(q *squad, _ *peer) ([]trail.Entry, []reach) {
			q.floors = []least{{2, 103.5}}
			return []trail.Entry{spanOf(1, 100, 1, 1)}, nil
		}, "", 0},
	} {
		q := squadOf(1)
		q.stated = map[int64]float64{}
		p := q.peers[0]
		p.roster = &Roster{past: map[string][]told{"w": {{0, 1, "active"}}, "x": {{0, 1, "active"}, {0, 2, "leaving"}, {0, 3, "active"}}}}
		spans, arrived := tc.play(q, p)
		below := q.belowFloors(spans)
		matched, strange := q.account(p, spans, arrived)
		got := strings.Join(q.out.Broken, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) || (below+strange > 0) != (tc.want != "") || matched != tc.match {
			t.Errorf("%s: %q, want %q; %d below, %d strange, %d matched", name, got, tc.want, below, strange, matched)
		}
	}
}

// TestTwoContentsMustBeNamed by all members, found in the records, and not begun with afterwards.
func TestTwoContentsMustBeNamed(t *testing.T) {
	broken := func(spoil func(q *squad) (breaks []trail.Violation, spans []trail.Entry)) string {
		q := squadOf(2)
		q.twofold = map[int64]float64{2: 0}
		for _, p := range q.peers {
			p.view.Clashes = append(p.view.Clashes, struct {
				Kind string `json:"kind"`
				No   int64  `json:"no"`
			}{"route set", 2})
		}
		breaks, spans := spoil(q)
		q.checkTwofold(time.Now())
		rest, faults := q.unexpected(breaks)
		if faults += q.begunLate(spans); faults != len(q.out.Broken) {
			t.Errorf("%d faults, %v", faults, q.out.Broken)
		}
		for _, b := range rest {
			q.blame("unexpected: %s", b.What)
		}
		return strings.Join(q.out.Broken, "; ")
	}
	made := []trail.Violation{{What: "route set 2 of lab has one content here and another at n2"}}
	now := unixOf(time.Now())
	for name, tc := range map[string]struct {
		spoil func(q *squad) ([]trail.Violation, []trail.Entry)
		want  string
	}{
		"all well": {func(*squad) ([]trail.Violation, []trail.Entry) {
			return made, []trail.Entry{spanOf(1, now-9, 1, 2), spanOf(2, now+9, 1, 2)}
		}, ""},
		"not named":    {func(q *squad) ([]trail.Violation, []trail.Entry) { q.peers[1].view.Clashes = nil; return made, nil }, "named by all"},
		"not recorded": {func(*squad) ([]trail.Violation, []trail.Entry) { return nil, nil }, "do not show it"},
		"another broken": {func(*squad) ([]trail.Violation, []trail.Entry) {
			return append(made, trail.Violation{What: "route set 3 of lab"}), nil
		}, "unexpected: route set 3"},
		"begun late": {func(*squad) ([]trail.Violation, []trail.Entry) { return made, []trail.Entry{spanOf(1, now+9, 1, 2)} }, "n1 began to act on route set 2"},
	} {
		if got := broken(tc.spoil); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}
