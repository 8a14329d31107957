// Package workerlist computes and applies changes between lists of workers, so that only the workers that changed are
// sent. Lists are immutable: results share entries with the arguments.
package workerlist

import (
	"fmt"
	"hash/fnv"

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

// New returns a list with its digest. It keeps the slice.
func New(epoch, version uint64, workers []*rpc.Worker) *rpc.WorkerList {
	list := &rpc.WorkerList{Epoch: epoch, Version: version, Workers: workers}
	for _, worker := range workers {
		list.Digest += digest(worker)
	}
	return list
}

// Difference returns the change that leads from one list to a later one of the same epoch. It returns nil if the epochs
// differ or an id is listed twice.
func Difference(from, to *rpc.WorkerList) *rpc.WorkerChange {
	before := byID(from.Workers)
	if from.Epoch != to.Epoch || before == nil || byID(to.Workers) == nil {
		return nil
	}
	change := &rpc.WorkerChange{Epoch: to.Epoch, Base: from.Version, Version: to.Version, Digest: to.Digest}
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
	next := &rpc.WorkerList{Epoch: change.Epoch, Version: change.Version, Digest: held.Digest}
	next.Workers = make([]*rpc.Worker, 0, len(held.Workers)+len(change.Upsert))
	for _, worker := range held.Workers {
		if removed[worker.Id] || replaced[worker.Id] != nil {
			next.Digest -= digest(worker)
			continue
		}
		next.Workers = append(next.Workers, worker)
	}
	for _, worker := range change.Upsert {
		next.Digest += digest(worker)
		next.Workers = append(next.Workers, worker)
	}
	if next.Digest != change.Digest {
		return nil, mismatch
	}
	return next, nil
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

// digest hashes one worker. The digest of a list is the sum over its workers, so it doesn't depend on their order.
func digest(worker *rpc.Worker) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(worker)
	if err != nil {
		panic("workerlist: a worker can't be encoded: report this as a defect: " + err.Error())
	}
	hash := fnv.New64a()
	_, _ = hash.Write(encoded)
	return hash.Sum64()
}
