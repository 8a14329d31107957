package controlplane

import (
	"slices"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// missingServiceGrace is how long the workers of a service stay known after a change of the platform's address, if the list at the new
// address names no worker of the service.
const missingServiceGrace = 30 * time.Second

// knownWorkers holds the list of workers in use. After a change of the platform's address it keeps the workers of each service of which the
// list at the new address names none yet: a platform that has just started may not know them. The zero value holds no workers.
type knownWorkers struct {
	current   []*rpc.Worker
	held      map[string]bool // services that the list at the current address has not named yet
	heldUntil time.Time
}

// holdMissing begins the grace period for all services that are known now.
func (k *knownWorkers) holdMissing(now time.Time) {
	k.held = make(map[string]bool)
	for _, worker := range k.current {
		k.held[worker.Service] = true
	}
	k.heldUntil = now.Add(missingServiceGrace)
}

// update takes over a sorted list of the platform, and returns the sorted list to use.
func (k *knownWorkers) update(now time.Time, listed []*rpc.Worker) []*rpc.Worker {
	if now.After(k.heldUntil) {
		k.held = nil
	}
	for _, worker := range listed {
		delete(k.held, worker.Service)
	}
	if len(k.held) > 0 {
		listed = sortedWorkers(slices.Concat(listed, k.workersHeld()))
	}
	k.current = listed
	return listed
}

func (k *knownWorkers) workersHeld() []*rpc.Worker {
	var workers []*rpc.Worker
	for _, worker := range k.current {
		if k.held[worker.Service] {
			workers = append(workers, worker)
		}
	}
	return workers
}
