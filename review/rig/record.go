package main

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// event is something that a client, a worker or the operator saw.
type event struct {
	AtMs    float64 `json:"atMs"`
	Kind    string  `json:"kind"` // send, answer, arrive, start, end, notrun, order, ordered, note
	ID      string  `json:"id,omitempty"`
	Host    string  `json:"host,omitempty"`
	Path    string  `json:"path,omitempty"`
	Key     string  `json:"key,omitempty"`
	Body    string  `json:"body,omitempty"`
	Service string  `json:"service,omitempty"`
	Worker  string  `json:"worker,omitempty"`
	Status  int     `json:"status,omitempty"`
	Stamp   string  `json:"stamp,omitempty"`
	Name    string  `json:"name,omitempty"`
	Text    string  `json:"text,omitempty"`
}

// record keeps all events in order.
type record struct {
	mutex  sync.Mutex
	began  time.Time
	events []event
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(e event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.AtMs = float64(time.Since(r.began).Microseconds()) / 1000
	r.events = append(r.events, e)
}

func (r *record) note(text string) { r.add(event{Kind: "note", Text: text}) }

func (r *record) all() []event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]event(nil), r.events...)
}

// nameOf returns the name under which a request was accepted.
func (r *record) nameOf(id string) string {
	for _, e := range r.all() {
		if e.Kind == "answer" && e.ID == id {
			return e.Name
		}
	}
	return ""
}

func (r *record) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	buffer := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffer)
	for _, e := range r.all() {
		if len(e.Body) > 40 {
			e.Body = e.Body[:40] + "..."
		}
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return buffer.Flush()
}
