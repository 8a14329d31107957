package localrun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	askers   = 8
	askPause = 200 * time.Millisecond
	askBound = 2 * time.Second // of one question

	stateCompleted = "completed"
	stateDead      = "dead_letter"
)

// stateAnswer is what GET /api/message/ID answers.
type stateAnswer struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// account asks any dispatcher for the end of each accepted message, and holds it against the ledger.
type account struct {
	ledger *Ledger
	entry  *entry
	client *http.Client

	mutex     sync.Mutex
	completed int
	dead      int
	broken    []string
}

func newAccount(ledger *Ledger, entry *entry) *account {
	return &account{ledger: ledger, entry: entry, client: responsecheck.NewClient(askBound)}
}

// run asks for all messages, again after every failure, until the context ends.
func (a *account) run(ctx context.Context, messages []*Message) {
	queue := make(chan *Message, len(messages))
	for _, m := range messages {
		queue <- m
	}
	close(queue)
	var asking sync.WaitGroup
	for range askers {
		asking.Add(1)
		go func() {
			defer asking.Done()
			for m := range queue {
				a.settle(ctx, m)
			}
		}()
	}
	asking.Wait()
}

// settle asks for one message until it has ended.
func (a *account) settle(ctx context.Context, m *Message) {
	last := "no answer"
	for {
		var answer stateAnswer
		data, status := a.get(ctx, "/api/message/"+m.Name)
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil {
			last = answer.State
		} else if status != 0 {
			last = fmt.Sprint(status)
		}
		if answer.State == stateCompleted || answer.State == stateDead {
			a.judge(ctx, a.ledger.copyOf(m), answer)
			return
		}
		select {
		case <-ctx.Done():
			a.fault("%s %s was accepted as %s and has not ended: %s", m.Kind, m.ID, m.Name, last)
			return
		case <-time.After(askPause):
		}
	}
}

// judge holds a state against what the workers did.
func (a *account) judge(ctx context.Context, m *Message, answer stateAnswer) {
	if answer.State == stateCompleted {
		for _, run := range m.Runs {
			if run.Status == statusSuccess && run.Stamp == answer.Stamp {
				a.count(&a.completed)
				return
			}
		}
		a.fault("%s %s is told as completed with the stamp %q, which no run of it that succeeded has", m.Kind, m.ID, answer.Stamp)
		return
	}
	end := m.endedBy()
	if end == nil || end.Status == statusSuccess {
		a.fault("%s %s is told as dead, and the workers gave no reason for it", m.Kind, m.ID)
		return
	}
	if body, status := a.get(ctx, "/api/message-body/"+m.Name); status != http.StatusOK || !bytes.Equal(body, m.Body) {
		a.fault("the body of %s %s, which is dead, does not come back: %d", m.Kind, m.ID, status)
		return
	}
	a.count(&a.dead)
}

// get asks any dispatcher. The status is 0 where none answered.
func (a *account) get(ctx context.Context, path string) ([]byte, int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.entry.next()+path, nil)
	if err != nil {
		return nil, 0
	}
	request.Host = hostName
	response, err := a.client.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return data, response.StatusCode
}

func (a *account) count(counter *int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	*counter++
}

func (a *account) fault(format string, arguments ...any) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.broken = append(a.broken, fmt.Sprintf(format, arguments...))
}
