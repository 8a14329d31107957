package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// message is what a client wants done.
type message struct {
	dispatcher int
	host, path string
	key        string
	delayMs    int
	body       string
}

// clients send messages as the pages say.
type clients struct {
	deployment *deployment
	record     *record
	http       *http.Client
	number     atomic.Int64
	prefix     string
}

func newClients(d *deployment) *clients {
	return &clients{deployment: d, record: d.record, prefix: fmt.Sprintf("%08x", rand.Uint32()),
		http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends one message, and again after a promise or where no connection was made; each try has an id of its own. It returns the id
// that was accepted, or "".
func (c *clients) send(m message) string {
	for try := range 8 {
		id := fmt.Sprintf("%s%08x", c.prefix, c.number.Add(1))
		status := c.try(m, id, (m.dispatcher+try)%len(c.deployment.dispatchers))
		switch status {
		case http.StatusAccepted:
			return id
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			time.Sleep(100 * time.Millisecond)
		default:
			return ""
		}
	}
	return ""
}

func (c *clients) try(m message, id string, dispatcher int) int {
	address := c.deployment.address(c.deployment.frontHost(dispatcher), frontPort)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+m.path, bytes.NewReader([]byte(m.body)))
	if err != nil {
		return 0
	}
	request.Host = m.host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "800")
	if m.key != "" {
		request.Header.Set("X-Order-Key", m.key)
	}
	if m.delayMs > 0 {
		request.Header.Set("X-Delay-Ms", fmt.Sprint(m.delayMs))
	}
	c.record.add(event{Kind: "send", ID: id, Host: m.host, Path: m.path, Key: m.key, Body: m.body})
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add(event{Kind: "answer", ID: id, Text: "no answer"})
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	name := response.Header.Get("X-Msg-Id")
	if name == "" {
		name = id
	}
	c.record.add(event{Kind: "answer", ID: id, Status: response.StatusCode, Name: name})
	return response.StatusCode
}

// state asks a dispatcher for the state of a message.
func (c *clients) state(host, name string, dispatcher int) (status int, state, stamp string) {
	address := c.deployment.address(c.deployment.frontHost(dispatcher%zoneCount), frontPort)
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/api/message/"+name, nil)
	if err != nil {
		return 0, "", ""
	}
	request.Host = host
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	var answer struct{ State, Stamp string }
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.State, answer.Stamp
}

// awaitReady waits until all dispatchers are ready.
func (c *clients) awaitReady(bound time.Duration) error {
	end := time.Now().Add(bound)
	for time.Now().Before(end) {
		ready := 0
		for i := range c.deployment.dispatchers {
			response, err := c.http.Get("http://" + c.deployment.address(c.deployment.frontHost(i), readyPort) + "/api/ready")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.deployment.dispatchers) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the dispatchers are not ready")
}

// operator sends configurations.
type operator struct {
	deployment *deployment
	record     *record
	http       *http.Client
	turn       int
}

func newOperator(d *deployment) *operator {
	return &operator{deployment: d, record: d.record, http: &http.Client{Timeout: time.Second}}
}

// order sends the same order, to one control process after the other, until it gets a clear answer.
func (o *operator) order(path, ifVersion string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	o.record.add(event{Kind: "order", Path: path, Text: "if version " + ifVersion + ": " + string(encoded)})
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		o.turn++
		address := o.deployment.address(o.deployment.frontHost(o.turn%zoneCount), controlPort)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
		if err != nil {
			return err
		}
		request.Header.Set("X-If-Version", ifVersion)
		request.Header.Set("Content-Type", "application/json")
		response, err := o.http.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			o.record.add(event{Kind: "ordered", Path: path, Status: response.StatusCode})
			if response.StatusCode == http.StatusOK {
				return nil
			}
			if response.StatusCode >= 400 && response.StatusCode < 500 {
				return fmt.Errorf("the order was refused with %d: %s", response.StatusCode, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the order was not acknowledged")
}
