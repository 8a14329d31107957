// Package wire hosts dispatchers behind the bench's text protocol. It decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/config"
)

var codes = map[string]choice.Code{"done": choice.Done, "err": choice.Errored, "busy": choice.Busy,
	"etimedout": choice.TimedOut, "econnrefused": choice.NoConnect, "econnreset": choice.Reset,
	"ecanceled": choice.Cancelled, "skipped": choice.Skipped}

var states = map[string]choice.State{"in_service": choice.InService, "terminating": choice.Terminating,
	"terminated": choice.Terminated}

var forms = map[string]choice.ListForm{"changes": choice.ListChanges, "all": choice.ListAll,
	"remembered": choice.ListRemembered, "refused": choice.ListRefused}

// fieldNames lists the fields of each message, for counting and for naming what is wrong.
var fieldNames = map[string][]string{
	"clock": {"clock"}, "eob": {}, "new_instance": {"i", "seed", "conf"}, "ledger": {"sheet", "entries"},
	"entry":     {"worker", "failure_domain", "family_type", "pod", "availability", "share", "started_at_s"},
	"endpoints": {"i", "epoch", "sheet", "form"},
	"ask": {"i", "call", "expires_s", "partition_key", "mem", "owner", "flags", "priority", "effort_s",
		"cores_needed"},
	"stop": {"i"}, "withdrawn": {"i", "call"}, "health": {"i", "worker", "latency_s", "code", "load"},
	"note": {"i", "call", "worker", "round_no", "what", "amount"}, "bell": {"i", "token"},
	"first_byte": {"i", "call", "round_no", "worker", "latency_s"},
	"ended":      {"i", "call", "round_no", "worker", "code", "latency_s", "final", "remark", "load"},
	"heard":      {"i", "who", "data"},
}

// message is one line, read field by field; the first fault sticks.
type message struct {
	name   string
	names  []string
	values []string
	err    error
}

func (m *message) fail(i int, why string) {
	if m.err == nil {
		m.err = fmt.Errorf("message %s: field %s: %s", m.name, m.names[i], why)
	}
}

func (m *message) num(i int, absent float64) float64 {
	if m.values[i] == "-" {
		return absent
	}
	x, err := strconv.ParseFloat(m.values[i], 64)
	if err != nil || x != x || x > 1e300 || x < -1e300 {
		m.fail(i, fmt.Sprintf("%q is not a number", m.values[i]))
	}
	return x
}

func (m *message) must(i int) float64 {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.num(i, 0)
}

func (m *message) whole(i int, absent int64) int64 {
	if m.values[i] == "-" {
		return absent
	}
	n, err := strconv.ParseInt(m.values[i], 10, 64)
	if err != nil {
		m.fail(i, fmt.Sprintf("%q is not a whole number", m.values[i]))
	}
	return n
}

func (m *message) mustWhole(i int) int64 {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.whole(i, 0)
}

func (m *message) text(i int) string {
	if m.values[i] == "-" {
		return ""
	}
	return m.values[i]
}

func (m *message) mustText(i int) string {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.values[i]
}

func (m *message) report(i int) []float64 {
	if m.values[i] == "-" {
		return nil
	}
	parts := strings.Split(m.values[i], ",")
	row := make([]float64, len(parts))
	for j, p := range parts {
		x, err := strconv.ParseFloat(p, 64)
		if err != nil {
			m.fail(i, fmt.Sprintf("%q is not a row of numbers", m.values[i]))
		}
		row[j] = x
	}
	return row
}

func word[T any](m *message, i int, words map[string]T) T {
	v, ok := words[m.values[i]]
	if !ok {
		m.fail(i, fmt.Sprintf("unknown word %q", m.values[i]))
	}
	return v
}

func split(line string) (*message, error) {
	name, rest, has := strings.Cut(line, " ")
	names, ok := fieldNames[name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	m := &message{name: name, names: names}
	if has {
		n := -1
		if name == "new_instance" {
			n = len(names) // the settings run to the line's end
		}
		m.values = strings.SplitN(rest, " ", n)
	}
	switch {
	case len(m.values) < len(names):
		return nil, fmt.Errorf("message %s: field %s: is missing", name, names[len(m.values)])
	case len(m.values) > len(names):
		return nil, fmt.Errorf("message %s: %d fields, not %d", name, len(m.values), len(names))
	}
	for i, v := range m.values {
		if v == "" {
			return nil, fmt.Errorf("message %s: field %s: is empty", name, names[i])
		}
	}
	return m, nil
}

// instance is one hosted dispatcher with the names its settings gave.
type instance struct {
	d       *choice.Dispatcher
	classes map[string]int
	tenants map[string]int
}

// Host runs the instances of one process.
type Host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	now       float64
	instances map[int64]*instance
	ledgers   map[int64][]choice.Worker
}

// Serve answers batches until the input ends, and returns what is wrong with the input, if anything is.
func Serve(in io.Reader, out io.Writer) error {
	h := &Host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		instances: map[int64]*instance{}, ledgers: map[int64][]choice.Worker{}}
	for {
		line, err := h.line()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := h.batch(line); err != nil {
			return err
		}
		h.out.WriteString("eor\n")
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func (h *Host) line() (string, error) {
	s, err := h.in.ReadString('\n')
	if errors.Is(err, io.EOF) && s != "" {
		return "", errors.New("input ends inside a line")
	}
	return strings.TrimSuffix(s, "\n"), err
}

// next reads a line inside a batch, where the input must not end.
func (h *Host) next() (*message, error) {
	s, err := h.line()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("input ends inside a batch: eob is missing")
	} else if err != nil {
		return nil, err
	}
	return split(s)
}

func (h *Host) batch(first string) error {
	m, err := split(first)
	if err != nil {
		return err
	}
	if m.name != "clock" {
		return fmt.Errorf("message %s: a batch begins with clock", m.name)
	}
	now := m.must(0)
	if m.err != nil {
		return m.err
	}
	if now < h.now {
		return errors.New("message clock: field clock: runs backwards")
	}
	h.now = now
	for {
		if m, err = h.next(); err != nil {
			return err
		}
		if m.name == "eob" {
			return nil
		}
		if err = h.event(m); err != nil {
			return err
		}
	}
}

func (h *Host) event(m *message) error {
	switch m.name {
	case "ledger":
		return h.ledger(m)
	case "entry", "clock":
		return fmt.Errorf("message %s: not expected here", m.name)
	}
	i := m.mustWhole(0)
	if m.err != nil {
		return m.err
	}
	if m.name == "new_instance" {
		return h.start(m, i)
	}
	inst := h.instances[i]
	if inst == nil {
		return fmt.Errorf("message %s: field i: no instance %d runs", m.name, i)
	}
	if m.name == "stop" {
		delete(h.instances, i)
		return nil
	}
	return h.pass(m, inst)
}

func (h *Host) ledger(m *message) error {
	sheet, n := m.mustWhole(0), m.mustWhole(1)
	if m.err == nil && (n < 0 || n > 1<<24) {
		m.fail(1, "out of range")
	}
	if m.err != nil {
		return m.err
	}
	var list []choice.Worker
	for range n {
		e, err := h.next()
		if err != nil {
			return err
		}
		if e.name != "entry" {
			return fmt.Errorf("message %s: field entries: %d announced, %d given", m.name, n, len(list))
		}
		w := choice.Worker{ID: e.mustText(0), Zone: e.text(1), Kind: e.text(2), Cell: int(e.whole(3, 0)),
			State: word(e, 4, states), Share: e.num(5, 1), Started: e.num(6, 0)}
		if e.err != nil {
			return e.err
		}
		list = append(list, w)
	}
	h.ledgers[sheet] = list
	return nil
}

func (h *Host) start(m *message, i int64) error {
	seed := m.mustWhole(1)
	if m.err != nil {
		return m.err
	}
	s, err := config.Settings([]byte(m.values[2]))
	if err != nil {
		m.fail(2, err.Error())
		return m.err
	}
	s.Seed = uint64(seed)
	inst := &instance{classes: map[string]int{}, tenants: map[string]int{}}
	for k, c := range s.Classes {
		inst.classes[c.Name] = k
	}
	for k, t := range s.Tenants {
		inst.tenants[t.Name] = k
	}
	if inst.d, err = choice.New(h.now, s, &actions{h.out, i}); err != nil {
		m.fail(2, err.Error())
		return m.err
	}
	h.instances[i] = inst
	return nil
}

// The bits of an ask's flags.
const (
	flagHint = 1 << iota
	flagRepeat
	flagWrite
	_
	flagResumed
)

func (h *Host) pass(m *message, inst *instance) error {
	d := inst.d
	var event func()
	switch m.name {
	case "endpoints":
		form := word(m, 3, forms)
		var list []choice.Worker
		if form != choice.ListRefused && m.err == nil {
			known := false
			if list, known = h.ledgers[m.mustWhole(2)]; !known {
				m.fail(2, "no such ledger")
			}
		}
		event = func() { d.List(h.now, form, list) }
	case "ask":
		q := inst.request(m)
		event = func() { d.Request(h.now, q) }
	case "withdrawn":
		id := m.mustText(1)
		event = func() { d.Withdrawn(h.now, id) }
	case "health":
		p := choice.Probe{Worker: m.mustText(1), Latency: m.num(2, 0), Code: word(m, 3, codes), Report: m.report(4)}
		event = func() { d.Probed(h.now, p) }
	case "note":
		what := m.mustWhole(4)
		n := choice.AttemptUpdate{Request: m.mustText(1), Worker: m.mustText(2), Attempt: int(m.mustWhole(3)),
			Started: what == 1}
		if amount := m.num(5, 0); what == 2 {
			n.Share = amount
		}
		event = func() { d.AttemptUpdate(h.now, n) }
	case "bell":
		token := m.mustWhole(1)
		event = func() { d.Timer(h.now, uint64(token)) }
	case "first_byte":
		id, no := m.mustText(1), int(m.mustWhole(2))
		event = func() { d.FirstByte(h.now, id, no) }
	case "ended":
		o := choice.Outcome{Request: m.mustText(1), Attempt: int(m.mustWhole(2)), Worker: m.mustText(3),
			Code: word(m, 4, codes), Latency: m.num(5, 0), Final: word(m, 6, bools), Remark: m.whole(7, 0),
			Report: m.report(8)}
		event = func() { d.Outcome(h.now, o) }
	case "heard":
		data, err := []byte(nil), error(nil)
		if m.text(2) != "" {
			if data, err = hex.DecodeString(m.values[2]); err != nil {
				m.fail(2, "not hex digits")
			}
		}
		from := int(m.mustWhole(1))
		event = func() { d.PeerMessage(h.now, from, data) }
	}
	if m.err == nil {
		event()
	}
	return m.err
}

var bools = map[string]bool{"0": false, "1": true}

func (inst *instance) request(m *message) choice.Request {
	class, ok := inst.classes[m.values[7]]
	if !ok {
		m.fail(7, fmt.Sprintf("unknown class %q", m.values[7]))
	}
	tenant, ok := inst.tenants[m.values[5]]
	if !ok {
		tenant = -1
	}
	flags := m.whole(6, 0)
	return choice.Request{ID: m.mustText(1), Deadline: m.must(2), Class: class, Tenant: tenant,
		Key: uint64(m.whole(3, 0)), HasKey: m.values[3] != "-", Memory: m.num(4, 0), Slots: m.num(9, 1),
		Hint: m.num(8, 0), HasHint: flags&flagHint != 0 && m.values[8] != "-", Repeat: flags&flagRepeat != 0,
		Write: flags&flagWrite != 0, Resumed: flags&flagResumed != 0}
}

// actions writes an instance's decisions as lines of the reply.
type actions struct {
	out *bufio.Writer
	i   int64
}

func (a *actions) begin(name string) {
	a.out.WriteString(name)
	a.whole(a.i)
}

func (a *actions) whole(n int64) {
	a.out.WriteByte(' ')
	a.out.Write(strconv.AppendInt(a.out.AvailableBuffer(), n, 10))
}

func (a *actions) text(s string) {
	a.out.WriteByte(' ')
	a.out.WriteString(s)
}

func (a *actions) time(s float64) {
	a.out.WriteByte(' ')
	a.out.Write(strconv.AppendFloat(a.out.AvailableBuffer(), s, 'f', 6, 64))
}

func (a *actions) end() { a.out.WriteByte('\n') }

func (a *actions) Assign(request, worker string, until float64) {
	a.begin("assign")
	a.text(request)
	a.text(worker)
	if until > 0 {
		a.time(until)
	} else {
		a.text("-")
	}
	a.end()
}

func (a *actions) Refuse(request string, pause float64) {
	a.begin("busy")
	a.text(request)
	if pause > 0 {
		a.time(pause)
	} else {
		a.text("-")
	}
	a.end()
}

func (a *actions) one(name, id string) {
	a.begin(name)
	a.text(id)
	a.end()
}

func (a *actions) Fail(request string)     { a.one("respond_error", request) }
func (a *actions) Probe(worker string)     { a.one("touch", worker) }
func (a *actions) CloseIdle(worker string) { a.one("close_idle", worker) }

// Log keeps the text on one line.
func (a *actions) Log(text string) {
	a.one("debug", strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text))
}

func (a *actions) Cancel(request string, attempt int) {
	a.begin("recall")
	a.text(request)
	a.whole(int64(attempt))
	a.end()
}

func (a *actions) Timer(delay float64, token uint64) {
	a.begin("timer")
	a.time(max(0, delay))
	a.whole(int64(token))
	a.end()
}

func (a *actions) SendToPeer(peer int, data []byte) {
	a.begin("say")
	if peer < 0 {
		a.text("*")
	} else {
		a.whole(int64(peer))
	}
	if len(data) == 0 {
		a.text("-")
	} else {
		a.text(hex.EncodeToString(data))
	}
	a.end()
}

func (a *actions) Subscribe(on bool) {
	a.begin("subscribe")
	if on {
		a.text("1")
	} else {
		a.text("0")
	}
	a.end()
}

func (a *actions) ListAll() {
	a.begin("list_all")
	a.end()
}
