// Package workerlist computes and applies changes between lists of workers, so that only the workers that changed are
// sent. Lists are immutable: results share entries with the arguments.
package workerlist

import (
	"fmt"
	"hash/fnv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

// MismatchError is returned if a change does not apply to the list that is held.
type MismatchError struct {
	Epoch   uint64
	Held    uint64 // version of the list that is held
	Base    uint64 // version that the change builds on
	Version uint64 // version that the change leads to
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("change from worker list %d to %d of epoch %d does not apply to list %d: connect anew for the full list",
		e.Base, e.Version, e.Epoch, e.Held)
}

// New returns a list with its digest and checksum. It keeps the slice.
func New(epoch, version uint64, workers []*rpc.Worker) *rpc.WorkerList {
	var total sums
	for _, worker := range workers {
		total.add(worker)
	}
	return &rpc.WorkerList{Epoch: epoch, Version: version, Workers: workers, Digest: total.digest, Checksum: &total.checksum}
}

// Difference returns the change that leads from one list to a later one of the same epoch. It returns nil if the epochs
// differ or an id is listed twice.
func Difference(from, to *rpc.WorkerList) *rpc.WorkerChange {
	before := byID(from.Workers)
	if from.Epoch != to.Epoch || before == nil || byID(to.Workers) == nil {
		return nil
	}
	change := &rpc.WorkerChange{Epoch: to.Epoch, Base: from.Version, Version: to.Version, Digest: to.Digest, Checksum: to.Checksum}
	for _, worker := range to.Workers {
		if held := before[worker.Id]; held == nil || !proto.Equal(held, worker) {
			change.Upsert = append(change.Upsert, worker)
		}
		delete(before, worker.Id)
	}
	for _, worker := range from.Workers {
		if before[worker.Id] != nil {
			change.Remove = append(change.Remove, worker.Id)
		}
	}
	return change
}

// Apply returns the list that results from a change. Any error is a *MismatchError: the list held has another epoch or
// version, or the digest of the result differs.
func Apply(held *rpc.WorkerList, change *rpc.WorkerChange) (*rpc.WorkerList, error) {
	mismatch := &MismatchError{Epoch: change.Epoch, Held: held.GetVersion(), Base: change.Base, Version: change.Version}
	if held == nil || held.Epoch != change.Epoch || held.Version != change.Base {
		return nil, mismatch
	}
	replaced := byID(change.Upsert)
	removed := make(map[string]bool, len(change.Remove))
	for _, id := range change.Remove {
		removed[id] = true
	}
	total := sumsOf(held)
	workers := make([]*rpc.Worker, 0, len(held.Workers)+len(change.Upsert))
	for _, worker := range held.Workers {
		if removed[worker.Id] || replaced[worker.Id] != nil {
			total.remove(worker)
			continue
		}
		workers = append(workers, worker)
	}
	for _, worker := range change.Upsert {
		total.add(worker)
		workers = append(workers, worker)
	}
	if total.digest != change.Digest || change.Checksum != nil && total.checksum != *change.Checksum {
		return nil, mismatch
	}
	return &rpc.WorkerList{Epoch: change.Epoch, Version: change.Version, Workers: workers, Digest: total.digest, Checksum: &total.checksum}, nil
}

// byID indexes workers by id. It returns nil if an id is listed twice.
func byID(workers []*rpc.Worker) map[string]*rpc.Worker {
	index := make(map[string]*rpc.Worker, len(workers))
	for _, worker := range workers {
		if index[worker.Id] != nil {
			return nil
		}
		index[worker.Id] = worker
	}
	return index
}

// sums are sums of hashes over the workers of a list, so they don't depend on their order. In the sum of FNV hashes, which earlier versions
// check alone, a swap of the last fields of two workers can cancel out.
type sums struct {
	digest   uint64 // of FNV hashes
	checksum uint64 // of xxHash hashes
}

// sumsOf returns the sums of a list. A list from an earlier version has no checksum.
func sumsOf(list *rpc.WorkerList) sums {
	if list.Checksum != nil {
		return sums{digest: list.Digest, checksum: *list.Checksum}
	}
	var total sums
	for _, worker := range list.Workers {
		total.add(worker)
	}
	total.digest = list.Digest
	return total
}

func (s *sums) add(worker *rpc.Worker) {
	one := hashesOf(worker)
	s.digest += one.digest
	s.checksum += one.checksum
}

func (s *sums) remove(worker *rpc.Worker) {
	one := hashesOf(worker)
	s.digest -= one.digest
	s.checksum -= one.checksum
}

func hashesOf(worker *rpc.Worker) sums {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(worker)
	if err != nil {
		panic("workerlist: a worker can't be encoded: report this as a defect: " + err.Error())
	}
	hash := fnv.New64a()
	_, _ = hash.Write(encoded)
	return sums{digest: hash.Sum64(), checksum: xxhash.Sum64(encoded)}
}
