package main

import (
	"sync"
	"time"

	"foldlb.example/foldlb/internal/core"
)

// answers brings the reducer's answers to those who asked over the control socket. Its zero value is ready for use.
type answers[T any] struct {
	mu      sync.Mutex
	waiting map[core.OrderID]chan T
	last    core.OrderID
}

// ask posts a question that bears a number, and waits for its answer. It tells false where none came within a time.
func (a *answers[T]) ask(post func(core.OrderID), most time.Duration) (answer T, came bool) {
	done := make(chan T, 1)
	a.mu.Lock()
	if a.waiting == nil {
		a.waiting = map[core.OrderID]chan T{}
	}
	a.last++
	id := ownOrders | a.last
	a.waiting[id] = done
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiting, id)
		a.mu.Unlock()
	}()
	go post(id) // it waits where the dispatcher is at rest
	select {
	case answer = <-done:
		return answer, true
	case <-time.After(most):
		return answer, false
	}
}

// give brings an answer. One that nobody waits for is dropped.
func (a *answers[T]) give(id core.OrderID, answer T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if done := a.waiting[id]; done != nil {
		done <- answer
		delete(a.waiting, id)
	}
}
