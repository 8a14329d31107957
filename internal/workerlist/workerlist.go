// Package workerlist finds and applies differences between lists of workers, so that a change of a few of many workers travels as
// such. Lists are immutable: what is returned shares entries with what was passed in.
package workerlist

import (
	"fmt"
	"hash/fnv"

	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

// MismatchError says that a change does not lead from the list that is held to the one that it names.
type MismatchError struct {
	Epoch   uint64
	Held    uint64 // version of the list that is held
	Base    uint64 // version that the change builds on
	Version uint64 // version that it leads to
}

// Error names the remedy.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the change from list %d to %d of epoch %d does not fit %d: connect anew for the whole list",
		e.Base, e.Version, e.Epoch, e.Held)
}

// New returns a list with its digest.
func New(epoch, version uint64, workers []*rpc.Worker) *rpc.WorkerList {
	list := &rpc.WorkerList{Epoch: epoch, Version: version, Workers: workers}
	for _, worker := range workers {
		list.Digest += digest(worker)
	}
	return list
}

// Difference returns the change that leads from one list to a later one of the same epoch. It is nil where they have no such change:
// in different epochs, or where an id is listed twice.
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

// Apply returns the list that a change leads to. The error is a *MismatchError.
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

// byID indexes workers; nil where an id is listed twice.
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

// digest hashes one worker. The digest of a list is the sum, so that its order does not count.
func digest(worker *rpc.Worker) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(worker)
	if err != nil {
		panic("workerlist: a worker can't be encoded: report this as a defect: " + err.Error())
	}
	hash := fnv.New64a()
	_, _ = hash.Write(encoded)
	return hash.Sum64()
}
