package localrun

import (
	"context"
	"net/http"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	readyPeriod = 300 * time.Millisecond
	readyBound  = 300 * time.Millisecond
	readyMisses = 2 // after so many a dispatcher gets no new messages until it answers again
)

// entry chooses dispatchers for clients, as the platform does: it asks each whether it is ready.
type entry struct {
	dispatchers []*process
	client      *http.Client

	mutex  sync.Mutex
	misses []int
	turn   int
}

func newEntry(dispatchers []*process) *entry {
	e := &entry{dispatchers: dispatchers, client: responsecheck.NewClient(readyBound), misses: make([]int, len(dispatchers))}
	for i := range e.misses {
		e.misses[i] = readyMisses
	}
	return e
}

// run asks until the context ends.
func (e *entry) run(ctx context.Context) {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		for i, one := range e.dispatchers {
			e.note(i, answersOK(ctx, e.client, "http://"+one.settings.Listen.Ready+"/api/ready"))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func answersOK(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *entry) note(index int, ready bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ready {
		e.misses[index] = 0
		return
	}
	e.misses[index]++
}

// next returns the front address of a dispatcher that is in, in turn, or of any where none is.
func (e *entry) next() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for range e.dispatchers {
		e.turn = (e.turn + 1) % len(e.dispatchers)
		if e.misses[e.turn] < readyMisses {
			break
		}
	}
	return e.dispatchers[e.turn].settings.Listen.Front
}

// ready counts the dispatchers that are in.
func (e *entry) ready() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for _, misses := range e.misses {
		if misses < readyMisses {
			count++
		}
	}
	return count
}
