package lab

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/audit/trail"
)

// The judge of the members' records: what they claim is held against what reached the stand-in workers, and against what the script told.

// sendSlack is how long after its act a branch may reach a worker, in seconds: on loopback it takes some milliseconds, and a busy machine
// makes more of them.
const sendSlack = 0.6

// nap is a time in which a member stood still, in Unix seconds, as all times here: the machine has one clock.
type nap struct {
	member   string
	from, to float64
}

func unixOf(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// AuditResult is what the members' records say, beside what reached the workers.
type AuditResult struct {
	Records  uint64 `json:"records"`
	Bytes    int64  `json:"bytes"`
	Acts     uint64 `json:"acts"`
	Missing  uint64 `json:"records_missing"`
	Sent     uint64 `json:"sends_recorded"`
	Reached  int    `json:"sends_that_reached_a_worker"`
	Unheard  int    `json:"of_those_not_recorded_by_members_that_were_never_killed"`
	Strange  int    `json:"sends_on_another_version_than_recorded"`
	Matched  int    `json:"sends_found_on_the_version_that_is_recorded"`
	Killed   int    `json:"of_those_not_recorded_by_members_that_were_killed"` // its last span was not told yet
	VerifyMS int64  `json:"verified_in_ms"`
	Floors   int    `json:"floors_told"`
	Untold   int    `json:"floors_that_over_half_were_not_seen_to_hold"`

	Stragglers int     `json:"stragglers_brought_up"`
	LagP50     float64 `json:"seconds_behind_p50"`
	LagP99     float64 `json:"seconds_behind_p99"`
	Twofold    int     `json:"route_sets_with_two_contents_named_by_all"`
	Stopped    uint64  `json:"branches_stopped_by_a_fence"` // at the member with the most
	GapMS      float64 `json:"longest_write_ms"`            // from the last look at the clock until a write had returned
}

// audit verifies the members' records and holds them against the workers' own.
func (q *squad) audit(none func(string, float64)) {
	var folders []string
	for _, p := range q.peers {
		folders = append(folders, filepath.Join(p.dir, "record"))
	}
	begin := time.Now()
	v, err := trail.Verify(folders, true)
	if err != nil {
		q.out.Broken = append(q.out.Broken, err.Error())
	}
	a := &AuditResult{Records: v.Records, Bytes: v.Bytes, Acts: v.Acts, Missing: v.Missing, VerifyMS: time.Since(begin).Milliseconds()}
	sent := map[string]uint64{}
	for _, e := range v.Spans {
		sent[e.Member] += e.Span.Counts[audit.Sent]
		a.Sent += e.Span.Counts[audit.Sent]
	}
	q.f.ledger.mu.Lock()
	defer q.f.ledger.mu.Unlock()
	for _, p := range q.peers {
		reached := len(q.f.ledger.from[p.addr])
		a.Reached += reached
		if lost := reached - int(sent[p.name]); lost > 0 && p.killed {
			a.Killed += lost
		} else if lost > 0 {
			a.Unheard += lost
		}
	}
	q.out.Audit = a
	breaks, twofold := q.unexpected(v.Violations)
	for _, b := range breaks {
		q.blame("record of %s: %s: %s", b.Member, b.Where, b.What)
	}
	twofold += q.begunLate(v.Spans)
	for _, at := range q.twofold {
		if at > 0 {
			a.Twofold++
		}
	}
	below := q.belowFloors(v.Spans)
	for _, p := range q.peers {
		matched, strange := q.account(p, v.Spans, q.f.ledger.from[p.addr])
		a.Matched += matched
		a.Strange += strange
	}
	a.Floors, a.Untold = len(q.floors), q.untold
	a.Stopped, a.GapMS = q.fenced, math.Round(1e5*q.gap)/100
	if n := len(q.lags); n > 0 {
		slices.Sort(q.lags)
		a.Stragglers, a.LagP50, a.LagP99 = n, q.lags[n/2], q.lags[n*99/100]
	}
	none("spans with sends below a floor after its bound", float64(below))
	none("sends on another version than recorded", float64(a.Strange))
	none("route sets with two contents that were not kept from", float64(twofold))
	none("promises of the records broken", float64(len(breaks)))
	none("sends that reached a worker and are in no record", float64(a.Unheard))
	if err != nil || a.Records == 0 || a.Sent == 0 || a.Matched == 0 {
		none("records that could not be read", 1)
	}
}

// belowFloors counts the spans that tell of a branch below a floor after it bound everybody, and names them. q.mu is held.
func (q *squad) belowFloors(spans []trail.Entry) (below int) {
	for _, e := range spans {
		for _, f := range q.floors {
			// Danger: a span's last act may be an answer to what was sent before the floor, by a member that stood still meanwhile.
			if _, last, sent := e.Span.SendTimes(); sent && e.Span.Versions.Config.No < f.no && last > f.bound {
				below++
				q.blame("%s sent on configuration %d until %.1f s after the floor %d bound everybody", e.Member, e.Span.Versions.Config.No, last-f.bound, f.no)
			}
		}
	}
	return below
}

// blame notes what the records show to be wrong. Unlike broken it names no moment of the run.
func (q *squad) blame(format string, args ...any) {
	if len(q.out.Broken) < 50 {
		q.out.Broken = append(q.out.Broken, fmt.Sprintf(format, args...))
	}
}

// account holds the sends of one member that reached workers against its spans: each came while a span tells of branches, on a list that names
// the worker as one to send to, and no span has fewer branches than reached workers within it; and no configuration is told to have been acted
// on before it was stated. It returns how many sends agree, and how many faults there are. q.mu is held.
func (q *squad) account(p *peer, all []trail.Entry, arrived []reach) (matched, strange int) {
	var spans []audit.Span
	first := -1 // a member's count of beginnings at its own
	for _, e := range all {
		if e.Member == p.name && first < 0 {
			first = e.Span.Versions.Begun
		}
		if _, _, sent := e.Span.SendTimes(); e.Member == p.name && sent {
			spans = append(spans, e.Span)
		}
	}
	fault := func(format string, args ...any) {
		strange++
		q.blame(format, args...)
	}
	inside := make([]uint64, len(spans))
	for _, x := range arrived {
		if q.still(p.name, x.at) {
			continue // what was decided before it stood still is written when it wakes
		}
		told, within, listed := false, false, false
		for i, s := range spans {
			from, last, _ := s.SendTimes()
			if x.at < from || x.at > last+sendSlack {
				continue
			}
			told, within = true, within || x.at <= last
			listed = listed || s.Versions.Routes.No < 0 || p.roster.had(x.worker, s.Versions.Begun-first, s.Versions.Routes.No) == "active"
			if x.at >= from+sendSlack && x.at <= last {
				inside[i]++
			}
		}
		switch {
		case !within && !listed && p.killed: // its last span was not told
		case !told:
			fault("%s sent to %s, and no span tells of a branch at that time", p.name, x.worker)
		case !listed:
			fault("%s sent to %s, which no list was in force for that its record names then", p.name, x.worker)
		default:
			matched++
		}
	}
	for i, s := range spans {
		if inside[i] > s.Counts[audit.Sent] {
			fault("%s tells of %d branches in span %d, within which %d reached workers", p.name, s.Counts[audit.Sent], s.No, inside[i])
		}
		from, _, _ := s.SendTimes()
		if at, stated := q.stated[s.Versions.Config.No]; stated && s.Versions.Config.No > 1 && from < at {
			fault("%s tells of a branch on configuration %d, %.2f s before that was stated anywhere", p.name, s.Versions.Config.No, at-from)
		}
	}
	return matched, strange
}

// still tells whether a member stood still at a time, or had just woken.
func (q *squad) still(member string, at float64) bool {
	return slices.ContainsFunc(q.asleep, func(n nap) bool { return n.member == member && at >= n.from && at <= n.to+sendSlack })
}

// contents notes where the discoveries tell two contents under one number. q.rosters is held.
func (q *squad) contents() {
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := map[int64]string{}
	for _, p := range q.peers {
		no, states := p.roster.content()
		if was, known := seen[no]; known && was != states {
			if _, noted := q.twofold[no]; !noted {
				q.twofold[no] = 0
			}
		}
		seen[no] = states
	}
}

// checkTwofold notes when all members that run have named a route set with two contents. q.mu is held.
func (q *squad) checkTwofold(now time.Time) {
	for no, at := range q.twofold {
		if at > 0 {
			continue
		}
		all := true
		for _, p := range q.peers {
			named := false
			for _, c := range p.view.Clashes {
				named = named || c.Kind == "route set" && c.No == no
			}
			all = all && (named || !p.up || p.paused) && now.Sub(p.view.at) <= staleAfter
		}
		if all {
			q.twofold[no] = unixOf(now)
		}
	}
}

// unexpected are the breaks that the script did not make: two contents that the discoveries told under one number are a fault outside, which
// must be found. faults counts those that were not. q.mu is held.
func (q *squad) unexpected(all []trail.Violation) (out []trail.Violation, faults int) {
	found := map[int64]bool{}
	for _, b := range all {
		made := false
		for no := range q.twofold {
			if strings.HasPrefix(b.What, fmt.Sprintf("route set %d of ", no)) {
				made, found[no] = true, true
			}
		}
		if !made {
			out = append(out, b)
		}
	}
	named := false
	for no, at := range q.twofold {
		named = named || at > 0
		if at > 0 && !found[no] {
			faults++
			q.blame("route set %d had two contents, and the records do not show it", no)
		}
	}
	if len(q.twofold) > 0 && !named {
		faults++
		q.blame("no route set that had two contents was named by all members")
	}
	return out, faults
}

// begunLate counts members that began to act on a route set after all had named it as one with two contents. q.mu is held.
func (q *squad) begunLate(all []trail.Entry) (faults int) {
	type use struct {
		member string
		no     int64
	}
	begun := map[use]float64{}
	for _, e := range all {
		if e.Span.Versions.Begun > 0 {
			continue // its numbers are others
		}
		at, first := use{e.Member, e.Span.Versions.Routes.No}, e.Span.From
		if was, known := begun[at]; !known || first < was {
			begun[at] = first
		}
	}
	for x, first := range begun {
		if named := q.twofold[x.no]; named > 0 && first > named+stepSlack {
			faults++
			q.blame("%s began to act on route set %d %.1f s after all had named it as one with two contents", x.member, x.no, first-named)
		}
	}
	return faults
}
