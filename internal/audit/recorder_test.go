package audit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"foldlb.example/foldlb/internal/membership"
)

func routes(no int64) Versions { return Versions{Routes: membership.Version{No: no, Source: "d"}} }

// TestActsBelongToWhatWasHeld: whatever comes in whatever order, each act is in just one span, of the versions held at that step.
func TestActsBelongToWhatWasHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1, 1, routes(1))
		now, held := 1.0, int64(1)
		want := map[int64][NumKinds]uint64{}
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 4).Draw(t, "gap")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				held++
				b.SetVersions(now, routes(held))
			case 1:
				b.EndDueSpan(now)
			case 2:
				b = Import(b.Export()) // a hand-over
			default:
				k := Kind(rapid.IntRange(0, int(NumKinds)-1).Draw(t, "kind"))
				b.Act(now, k, fmt.Sprint(total), "w")
				c := want[held]
				c[k]++
				want[held] = c
				total++
			}
		}
		b.End(now)
		got, acts, no, until := map[int64][NumKinds]uint64{}, uint64(0), uint64(0), 1.0
		for _, s := range b.Take() {
			if s.No != no+1 || s.From != until || s.Until < s.From || s.Acts() > 0 && (s.First < s.From || s.Last > s.Until) {
				t.Fatalf("span %+v after span %d, which ended at %v", s, no, until)
			}
			if first, last, sent := s.SendTimes(); sent != (s.Counts[Sent] > 0) || sent && (first < s.First || last < first || s.Last < last) ||
				sent && s.Acts() == s.Counts[Sent] && (first != s.First || last != s.Last) {
				t.Fatalf("span %+v has branches from %v until %v", s, first, last)
			}
			no, until = s.No, s.Until
			c := got[s.Versions.Routes.No]
			for k, n := range s.Counts {
				c[k] += n
			}
			got[s.Versions.Routes.No] = c
			acts += s.Acts()
		}
		for v, c := range want {
			if got[v] != c {
				t.Fatalf("on version %d: %v, want %v", v, got[v], c)
			}
		}
		if sums := b.Sums(); acts != uint64(total) || (Span{Counts: sums}).Acts() != uint64(total) {
			t.Fatalf("%d acts in spans, sums %v, of %d", acts, sums, total)
		}
	})
}

// TestLatestActsAreRemembered, each with its versions, and the oldest are forgotten.
func TestLatestActsAreRemembered(t *testing.T) {
	b := New(1, 1, routes(1))
	for i := range ringMost + 10 {
		if i%5000 == 4999 {
			b.SetVersions(float64(i), routes(int64(i)))
		}
		b.Act(float64(i), Sent, fmt.Sprint("r", i), "w")
		b.Act(float64(i), Answered, fmt.Sprint("r", i), "")
	}
	if got := b.ActsOf("r0"); got != nil {
		t.Errorf("the oldest is remembered: %v", got)
	}
	got := b.ActsOf("r5000")
	if len(got) != 2 || got[0].Kind != Sent || got[0].Worker != "w" || got[0].Versions != routes(4999) || got[1].Kind != Answered {
		t.Errorf("remembered: %+v", got)
	}
	for i := range 3 * ringMost {
		b.SetVersions(1e6+float64(i), routes(int64(1e6+i)))
	}
	if len(b.held) > 2*heldMost {
		t.Errorf("%d versions are kept for %d acts", len(b.held), len(b.ring))
	}
	if got := b.ActsOf("r8191"); got != nil {
		t.Errorf("after many versions: %+v", got)
	}
}

func BenchmarkAct(b *testing.B) {
	recorder := New(1, 1, routes(1))
	b.ReportAllocs()
	for i := range b.N {
		recorder.Act(float64(i), Sent, "9b1f03aa5c7e2d41", "s-0badcafe")
	}
}

// TestAnswersAfterTheLastBranch: what a span tells of branches does not move with what comes after them.
func TestAnswersAfterTheLastBranch(t *testing.T) {
	b := New(1, 1, routes(1))
	b.Act(2, Refused, "a", "")
	b.Act(3, Sent, "b", "w")
	b.Act(4, Sent, "c", "w")
	b.Act(9, Answered, "c", "")
	s := Import(b.Export()).Now()
	if first, last, sent := s.SendTimes(); !sent || first != 3 || last != 4 || s.First != 2 || s.Last != 9 {
		t.Errorf("branches from %v until %v of %+v", first, last, s)
	}
	s.FirstSent, s.LastSent = 0, 0 // as a build told it that did not know them apart
	if first, last, sent := s.SendTimes(); !sent || first != 2 || last != 9 {
		t.Errorf("without its own times: from %v until %v", first, last)
	}
	if _, _, sent := (Span{First: 1, Last: 2, Counts: [NumKinds]uint64{Answered: 1}}).SendTimes(); sent {
		t.Error("an answer is taken for a branch")
	}
}
