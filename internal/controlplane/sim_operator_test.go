package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// simCall is one call of an operator, repeated until it has a definite outcome.
type simCall struct {
	read      bool
	request   int // number of the change request, from 1
	ifVersion uint64
	version   uint64 // version that the request sets
}

// simOutcome is the outcome as the operator knows it.
type simOutcome struct {
	status  int    // 0 if there was no definite outcome
	version uint64 // version that was read
	request int    // number of the request whose configuration was read
}

// simState is the configuration in the model of the history.
type simState struct {
	version uint64
	request int
	applied string // numbers of the applied requests, each enclosed in commas
}

func (s simState) hasApplied(request int) bool {
	return strings.Contains(s.applied, fmt.Sprintf(",%d,", request))
}

func (s simState) apply(call simCall) simState {
	if s.applied == "" {
		s.applied = ","
	}
	return simState{version: call.version, request: call.request, applied: s.applied + strconv.Itoa(call.request) + ","}
}

// configModel is a register with compare-and-set that recognizes repeated requests.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{simState{}} },
	Step: func(state, input, output any) []any {
		return stepConfig(state.(simState), input.(simCall), output.(simOutcome))
	},
}).ToModel()

// stepConfig returns the possible states after a call with a given outcome; none if the outcome contradicts the state.
func stepConfig(state simState, call simCall, outcome simOutcome) []any {
	if call.read {
		isSame := outcome.status == http.StatusOK && outcome.version == state.version && outcome.request == state.request
		isNone := outcome.status == http.StatusNotFound && state.version == 0
		if isSame || isNone || outcome.status == 0 {
			return []any{state}
		}
		return nil
	}
	mayApply := !state.hasApplied(call.request) && state.version == call.ifVersion && call.version > state.version
	switch {
	case outcome.status == 0 && mayApply:
		return []any{state, state.apply(call)}
	case outcome.status == 0:
		return []any{state}
	case outcome.status == http.StatusOK && state.hasApplied(call.request):
		return []any{state}
	case outcome.status == http.StatusOK && mayApply:
		return []any{state.apply(call)}
	case outcome.status == http.StatusPreconditionFailed && !state.hasApplied(call.request) && state.version != call.ifVersion:
		return []any{state}
	}
	return nil
}

// simHistory collects the calls of all operators.
type simHistory struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	requests   int
	confirmed  int
	refused    int
	reads      int
	repeats    int
	newest     uint64        // highest version that was confirmed or read
	confirms   int           // renewals that a leader replied to
	retired    time.Duration // when a retirement was first confirmed; 0 for never
	violation  string
}

// record adds a call with its start, end and outcome.
func (h *simHistory) record(client int, call simCall, outcome simOutcome, began, ended time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := ended.Nanoseconds()
	if outcome.status == 0 {
		returned = math.MaxInt64 // it may take effect at any time after its start, or never
		if call.read {
			return
		}
	}
	switch {
	case call.read:
		h.reads++
	case outcome.status == http.StatusOK:
		h.confirmed++
	case outcome.status != 0:
		h.refused++
	}
	if outcome.status == http.StatusOK {
		h.newest = max(h.newest, call.version, outcome.version)
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: call, Output: outcome, Call: began.Nanoseconds(), Return: returned,
	})
}

func (h *simHistory) violate(format string, values ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.violation == "" {
		h.violation = fmt.Sprintf(format, values...)
	}
}

// simOperator sends change requests and reads.
type simOperator struct {
	network *simNetwork
	history *simHistory
	number  int
	known   uint64 // latest version that it knows
	sent    []sentRequest
}

// sentRequest is a change request that was confirmed and may be sent again.
type sentRequest struct {
	call simCall
	body string
}

const (
	simCallTimeout = 1100 * time.Millisecond
	simTries       = 30
)

// run sends random calls until the simulation ends.
func (o *simOperator) run() {
	for !o.isOver() {
		switch o.network.intN(8) {
		case 0, 1, 2:
			o.read()
		case 3:
			o.repeat()
		case 4:
			o.retire()
		default:
			o.request()
		}
		time.Sleep(o.network.between(10*time.Millisecond, 700*time.Millisecond))
	}
}

func (o *simOperator) isOver() bool {
	select {
	case <-o.network.ended:
		return true
	default:
		return false
	}
}

func (o *simOperator) now() time.Duration { return time.Since(o.network.started) }

// request sends a change based on the version that this operator knows. Another operator may use the same version for
// another configuration.
func (o *simOperator) request() {
	o.history.mutex.Lock()
	o.history.requests++
	number := o.history.requests
	o.history.mutex.Unlock()
	call := simCall{request: number, ifVersion: o.known, version: o.known + 1 + uint64(o.network.intN(2))}
	body := configWith(int(call.version), fmt.Sprintf("order-%d", number))
	o.send(call, body)
}

// repeat sends a confirmed change request again, regardless of later changes.
func (o *simOperator) repeat() {
	if len(o.sent) == 0 {
		return
	}
	again := o.sent[o.network.intN(len(o.sent))]
	o.history.mutex.Lock()
	o.history.repeats++
	o.history.mutex.Unlock()
	o.send(again.call, again.body)
}

func (o *simOperator) send(call simCall, body string) {
	began := o.now()
	answer := o.callUntilDefinite(http.MethodPost, replacePath, strconv.FormatUint(call.ifVersion, 10), body)
	outcome := simOutcome{status: answer.status}
	o.history.record(o.number, call, outcome, began, o.now())
	switch answer.status {
	case http.StatusOK:
		o.known = max(o.known, call.version)
		o.sent = append(o.sent, sentRequest{call: call, body: body})
	case http.StatusPreconditionFailed:
		o.read()
	case 0:
	default:
		o.history.violate("request %d got %d: %s", call.request, answer.status, answer.body)
	}
}

// read reads the configuration, and reports whether there was a definite outcome.
func (o *simOperator) read() bool {
	began := o.now()
	answer := o.callUntilDefinite(http.MethodGet, readPath, "", "")
	outcome := simOutcome{status: answer.status}
	if answer.status == http.StatusOK {
		outcome.version, outcome.request = readBack(answer.body)
		o.known = outcome.version
	}
	o.history.record(o.number, simCall{read: true}, outcome, began, o.now())
	return answer.status != 0
}

// readBack returns the version of a configuration, and the number of the request that its only route names.
func readBack(body string) (version uint64, request int) {
	var config struct {
		Version uint64
		Routes  []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(body), &config); err != nil {
		return 0, -1
	}
	if len(config.Routes) != 1 {
		return config.Version, -1
	}
	request, err := strconv.Atoi(strings.TrimPrefix(config.Routes[0].Name, "order-"))
	if err != nil {
		return config.Version, -1
	}
	return config.Version, request
}

// retire starts a retirement or reads it: after a start was confirmed, no read may return that there is none.
func (o *simOperator) retire() {
	began := o.now()
	if o.network.chance(0.3) {
		answer := o.callUntilDefinite(http.MethodPost, "/api/retire/store-0/start", "", `{"deadlineS":10}`)
		o.history.mutex.Lock()
		if answer.status == http.StatusOK && o.history.retired == 0 {
			o.history.retired = o.now()
		}
		o.history.mutex.Unlock()
		return
	}
	answer := o.callUntilDefinite(http.MethodGet, "/api/retire/store-0/read", "", "")
	o.history.mutex.Lock()
	retired := o.history.retired
	o.history.mutex.Unlock()
	if answer.status == http.StatusNotFound && retired != 0 && began > retired {
		o.history.violate("a retirement confirmed at %s is unknown to a read that began at %s", retired, began)
	}
}

// callUntilDefinite calls random processes until one returns a definite outcome. It follows up to two redirects.
func (o *simOperator) callUntilDefinite(method, path, ifVersion, body string) apiResponse {
	pause := 50 * time.Millisecond
	for range simTries {
		servers := o.network.allServers()
		address := servers[o.network.intN(len(servers))].address
		answer := o.call(address, method, path, ifVersion, body, 2)
		if answer.status != 0 && answer.status < http.StatusInternalServerError {
			return answer
		}
		if o.isOver() {
			break
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return apiResponse{}
}

func (o *simOperator) call(address, method, path, ifVersion, body string, redirects int) apiResponse {
	ctx, cancel := context.WithTimeout(context.Background(), simCallTimeout+2*o.network.transferTime(len(body)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if ifVersion != "" {
		request.Header.Set(headerIfVersion, ifVersion)
	}
	response, err := o.network.carry("operator", nil, request)
	if err != nil {
		return apiResponse{}
	}
	content, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusTemporaryRedirect {
		if redirects == 0 {
			return apiResponse{}
		}
		next := strings.TrimPrefix(response.Header.Get(headerLocation), "http://")
		return o.call(strings.SplitN(next, "/", 2)[0], method, path, ifVersion, body, redirects-1)
	}
	return apiResponse{status: response.StatusCode, body: string(content)}
}
