package workerlist

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"foldlb.example/foldlb/internal/rpc"
)

// drawList draws a list of up to five workers, in random order.
func drawList(t *rapid.T, epoch, version uint64) *rpc.WorkerList {
	var workers []*rpc.Worker
	ids := rapid.Permutation([]string{"a", "b", "c", "d", "e"}).Draw(t, "ids")
	for _, id := range ids[:rapid.IntRange(0, len(ids)).Draw(t, "count")] {
		workers = append(workers, &rpc.Worker{Id: id, Service: "s", Draining: rapid.Bool().Draw(t, "draining"),
			ColdMs: rapid.Int64Range(0, 1).Draw(t, "cold")})
	}
	return New(epoch, version, workers)
}

// textOf returns a list's entries, sorted.
func textOf(list *rpc.WorkerList) string {
	lines := make([]string, 0, len(list.Workers))
	for _, worker := range list.Workers {
		lines = append(lines, fmt.Sprint(worker.Id, worker.Service, worker.Draining, worker.ColdMs))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func TestDifferenceLeadsFromOneListToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, 1, 4), drawList(t, 1, 9)
		before := textOf(from)
		encoded, err := proto.Marshal(Difference(from, to))
		must.NoError(t, err)
		change := &rpc.WorkerChange{}
		must.NoError(t, proto.Unmarshal(encoded, change))
		reached, err := Apply(from, change)
		must.NoError(t, err)
		must.Eq(t, textOf(to), textOf(reached))
		must.Eq(t, to.Digest, reached.Digest)
		must.Eq(t, 9, reached.Version)
		must.Eq(t, before, textOf(from))
	})
}

func TestChangeThatDoesNotFitIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to, other := drawList(t, 1, 4), drawList(t, 1, 9), drawList(t, 1, 4)
		change := Difference(from, to)
		reached, err := Apply(other, change)
		if err == nil { // the change may lead to the same list from another one
			must.Eq(t, textOf(to), textOf(reached))
			return
		}
		mismatch := &MismatchError{}
		must.True(t, errors.As(err, &mismatch))
		must.StrContains(t, mismatch.Error(), "connect anew")
	})
}

// TestSwappedFieldsAreNoticed guards against a change that is applied to a list that it doesn't lead from: two workers had swapped their last
// fields, and the FNV hashes added up to the same sum.
func TestSwappedFieldsAreNoticed(t *testing.T) {
	sameDigests := 0
	for first := 'a'; first <= 'z'; first++ {
		for second := first + 1; second <= 'z'; second++ {
			one := New(1, 4, []*rpc.Worker{{Id: string(first), Draining: true}, {Id: string(second), ColdMs: 1}})
			other := New(1, 4, []*rpc.Worker{{Id: string(first), ColdMs: 1}, {Id: string(second), Draining: true}})
			if one.Digest == other.Digest {
				sameDigests++
			}
			change := Difference(one, New(1, 5, append(slices.Clone(one.Workers), &rpc.Worker{Id: "new"})))
			_, err := Apply(other, change)
			must.Error(t, err)
		}
	}
	must.Positive(t, sameDigests)
}

// TestListsOfEarlierVersionsAreChecked applies changes and lists without a checksum, as earlier versions send them, and a change with one to a list
// without.
func TestListsOfEarlierVersionsAreChecked(t *testing.T) {
	worker, added := &rpc.Worker{Id: "a"}, &rpc.Worker{Id: "b"}
	from, to := New(1, 4, []*rpc.Worker{worker}), New(1, 5, []*rpc.Worker{worker, added})
	change := Difference(from, to)
	from.Checksum = nil
	reached, err := Apply(from, change)
	must.NoError(t, err)
	must.Eq(t, to.Checksum, reached.Checksum)

	change.Checksum = nil
	reached, err = Apply(from, change)
	must.NoError(t, err)
	must.Eq(t, to.Checksum, reached.Checksum)
	change.Digest++
	_, err = Apply(from, change)
	must.Error(t, err)
}

func TestChangeOfAnotherVersionOrEpochIsRefused(t *testing.T) {
	worker := &rpc.Worker{Id: "a"}
	from, to := New(1, 4, nil), New(1, 9, []*rpc.Worker{worker})
	for _, held := range []*rpc.WorkerList{nil, New(1, 5, nil), New(2, 4, nil)} {
		_, err := Apply(held, Difference(from, to))
		must.Error(t, err)
	}
	must.Nil(t, Difference(from, New(2, 9, nil)))
	must.Nil(t, Difference(from, New(1, 9, []*rpc.Worker{worker, worker})))
}

// BenchmarkChange measures applying a change of 10 of 220,000 workers, and reports its encoded size.
func BenchmarkChange(b *testing.B) {
	workers := make([]*rpc.Worker, 220_000)
	for i := range workers {
		workers[i] = &rpc.Worker{Id: fmt.Sprintf("i-%08x", i), Service: fmt.Sprint("service", i%1000), Address: "10.128.0.9:8080", Zone: "z", Capacity: 9}
	}
	from := New(1, 1, workers)
	later := slices.Clone(workers)
	for i := range 10 {
		later[i*1000] = &rpc.Worker{Id: workers[i*1000].Id, Service: "s", Draining: true}
	}
	change := Difference(from, New(1, 2, later))
	b.ReportMetric(float64(proto.Size(change)), "B/change")
	for b.Loop() {
		_, err := Apply(from, change)
		must.NoError(b, err)
	}
}
