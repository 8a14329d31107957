// Package wire runs dispatchers for a test bench, which sends them events and receives their actions over a text
// protocol. Input comes in batches of lines from clock to eob; each is answered by lines that end with eor. A line is a
// message name and its fields, separated by single blanks; "-" is an absent field. Package choice makes the decisions.
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

var outcomeCodes = map[string]choice.Code{"done": choice.Done, "err": choice.Errored, "busy": choice.Busy,
	"etimedout": choice.TimedOut, "econnrefused": choice.NoConnect, "econnreset": choice.Reset,
	"ecanceled": choice.Cancelled, "skipped": choice.Skipped}

var workerStates = map[string]choice.State{"in_service": choice.InService, "terminating": choice.Terminating,
	"terminated": choice.Terminated}

var listForms = map[string]choice.ListForm{"changes": choice.ListChanges, "all": choice.ListAll,
	"remembered": choice.ListRemembered, "refused": choice.ListRefused}

// fieldNames has the field names of each message in order, for their number and for error messages.
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

// message is an input line. Its methods parse single fields by index and keep the first error in err. Fields whose
// methods take a default may be absent.
type message struct {
	name   string
	names  []string // of the fields
	values []string // of the fields, as many as names
	err    error
}

func (m *message) fail(i int, reason string) {
	if m.err == nil {
		m.err = fmt.Errorf("message %s: field %s: %s", m.name, m.names[i], reason)
	}
}

func (m *message) float(i int, absent float64) float64 {
	if m.values[i] == "-" {
		return absent
	}
	x, err := strconv.ParseFloat(m.values[i], 64)
	if err != nil || x != x || x > 1e300 || x < -1e300 {
		m.fail(i, fmt.Sprintf("%q is not a number", m.values[i]))
	}
	return x
}

func (m *message) requiredFloat(i int) float64 {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.float(i, 0)
}

func (m *message) integer(i int, absent int64) int64 {
	if m.values[i] == "-" {
		return absent
	}
	n, err := strconv.ParseInt(m.values[i], 10, 64)
	if err != nil {
		m.fail(i, fmt.Sprintf("%q is not an integer", m.values[i]))
	}
	return n
}

func (m *message) requiredInteger(i int) int64 {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.integer(i, 0)
}

// text returns a text field, which is empty if it is absent.
func (m *message) text(i int) string {
	if m.values[i] == "-" {
		return ""
	}
	return m.values[i]
}

func (m *message) requiredText(i int) string {
	if m.values[i] == "-" {
		m.fail(i, "is missing")
	}
	return m.values[i]
}

// report returns the values of a load report, or nil if it is absent.
func (m *message) report(i int) []float64 {
	if m.values[i] == "-" {
		return nil
	}
	parts := strings.Split(m.values[i], ",")
	row := make([]float64, len(parts))
	for j, p := range parts {
		x, err := strconv.ParseFloat(p, 64)
		if err != nil {
			m.fail(i, fmt.Sprintf("%q is not a list of numbers", m.values[i]))
		}
		row[j] = x
	}
	return row
}

// enumField returns the value of a field that must be a key of words.
func enumField[T any](m *message, i int, words map[string]T) T {
	v, ok := words[m.values[i]]
	if !ok {
		m.fail(i, fmt.Sprintf("unknown value %q", m.values[i]))
	}
	return v
}

func parseMessage(line string) (*message, error) {
	name, rest, has := strings.Cut(line, " ")
	names, ok := fieldNames[name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	m := &message{name: name, names: names}
	if has {
		n := -1
		if name == "new_instance" {
			n = len(names) // the settings are the rest of the line, and may have blanks
		}
		m.values = strings.SplitN(rest, " ", n)
	}
	switch {
	case len(m.values) < len(names):
		return nil, fmt.Errorf("message %s: field %s: is missing", name, names[len(m.values)])
	case len(m.values) > len(names):
		return nil, fmt.Errorf("message %s: has %d fields instead of %d", name, len(m.values), len(names))
	}
	for i, v := range m.values {
		if v == "" {
			return nil, fmt.Errorf("message %s: field %s: is empty", name, names[i])
		}
	}
	return m, nil
}

// instance is a dispatcher with the classes and tenants of its settings.
type instance struct {
	dispatcher *choice.Dispatcher
	classes    map[string]int // index by name
	tenants    map[string]int // index by name
}

// Host runs the dispatchers of a process.
type Host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	now       float64                   // clock of the current batch, in seconds
	instances map[int64]*instance       // by the field i
	ledgers   map[int64][]choice.Worker // lists of workers, by the field sheet
}

// Serve answers batches until the input ends. It returns an error if the input is invalid or can't be read, or if a
// reply can't be written.
func Serve(in io.Reader, out io.Writer) error {
	h := &Host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		instances: map[int64]*instance{}, ledgers: map[int64][]choice.Worker{}}
	for {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := h.handleBatch(line); err != nil {
			return err
		}
		h.out.WriteString("eor\n")
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its end, or io.EOF after the last line.
func (h *Host) readLine() (string, error) {
	s, err := h.in.ReadString('\n')
	if errors.Is(err, io.EOF) && s != "" {
		return "", errors.New("input ends inside a line")
	}
	return strings.TrimSuffix(s, "\n"), err
}

// nextMessage reads a message within a batch, where the end of the input is an error.
func (h *Host) nextMessage() (*message, error) {
	s, err := h.readLine()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("input ends inside a batch: eob is missing")
	} else if err != nil {
		return nil, err
	}
	return parseMessage(s)
}

func (h *Host) handleBatch(first string) error {
	m, err := parseMessage(first)
	if err != nil {
		return err
	}
	if m.name != "clock" {
		return fmt.Errorf("message %s: a batch begins with clock", m.name)
	}
	now := m.requiredFloat(0)
	if m.err != nil {
		return m.err
	}
	if now < h.now {
		return errors.New("message clock: field clock: is earlier than in the batch before")
	}
	h.now = now
	for {
		if m, err = h.nextMessage(); err != nil {
			return err
		}
		if m.name == "eob" {
			return nil
		}
		if err = h.handleMessage(m); err != nil {
			return err
		}
	}
}

func (h *Host) handleMessage(m *message) error {
	switch m.name {
	case "ledger":
		return h.readLedger(m)
	case "entry", "clock":
		return fmt.Errorf("message %s: not expected here", m.name)
	}
	i := m.requiredInteger(0)
	if m.err != nil {
		return m.err
	}
	if m.name == "new_instance" {
		return h.startInstance(m, i)
	}
	inst := h.instances[i]
	if inst == nil {
		return fmt.Errorf("message %s: field i: no instance %d runs", m.name, i)
	}
	if m.name == "stop" {
		delete(h.instances, i)
		return nil
	}
	return h.deliverEvent(m, inst)
}

// readLedger reads the entries of a list of workers, which endpoints messages refer to by its sheet.
func (h *Host) readLedger(m *message) error {
	sheet, n := m.requiredInteger(0), m.requiredInteger(1)
	if m.err == nil && (n < 0 || n > 1<<24) {
		m.fail(1, "out of range")
	}
	if m.err != nil {
		return m.err
	}
	var list []choice.Worker
	for range n {
		e, err := h.nextMessage()
		if err != nil {
			return err
		}
		if e.name != "entry" {
			return fmt.Errorf("message %s: field entries: %d announced, %d given", m.name, n, len(list))
		}
		w := choice.Worker{ID: e.requiredText(0), Zone: e.text(1), Kind: e.text(2), Cell: int(e.integer(3, 0)),
			State: enumField(e, 4, workerStates), Share: e.float(5, 1), Started: e.float(6, 0)}
		if e.err != nil {
			return e.err
		}
		list = append(list, w)
	}
	h.ledgers[sheet] = list
	return nil
}

func (h *Host) startInstance(m *message, i int64) error {
	seed := m.requiredInteger(1)
	if m.err != nil {
		return m.err
	}
	s, err := config.ParseSettings([]byte(m.values[2]))
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
	if inst.dispatcher, err = choice.New(h.now, s, &actions{h.out, i}); err != nil {
		m.fail(2, err.Error())
		return m.err
	}
	h.instances[i] = inst
	return nil
}

// Bits of the field flags of the message ask.
const (
	flagHint = 1 << iota
	flagRepeat
	flagWrite
	_ // not used
	flagResumed
)

// deliverEvent calls the dispatcher's method for the message, unless a field is invalid.
func (h *Host) deliverEvent(m *message, inst *instance) error {
	d := inst.dispatcher
	var event func()
	switch m.name {
	case "endpoints":
		form := enumField(m, 3, listForms)
		var list []choice.Worker
		if form != choice.ListRefused && m.err == nil {
			known := false
			if list, known = h.ledgers[m.requiredInteger(2)]; !known {
				m.fail(2, "no such ledger")
			}
		}
		event = func() { d.List(h.now, form, list) }
	case "ask":
		q := inst.parseRequest(m)
		event = func() { d.Request(h.now, q) }
	case "withdrawn":
		id := m.requiredText(1)
		event = func() { d.Withdrawn(h.now, id) }
	case "health":
		p := choice.Probe{Worker: m.requiredText(1), Latency: m.float(2, 0), Code: enumField(m, 3, outcomeCodes),
			Report: m.report(4)}
		event = func() { d.Probed(h.now, p) }
	case "note":
		what := m.requiredInteger(4) // 1 for the start of a job, 2 for its progress
		u := choice.AttemptUpdate{Request: m.requiredText(1), Worker: m.requiredText(2),
			Attempt: int(m.requiredInteger(3)), Started: what == 1}
		if amount := m.float(5, 0); what == 2 {
			u.Share = amount
		}
		event = func() { d.AttemptUpdate(h.now, u) }
	case "bell":
		token := m.requiredInteger(1)
		event = func() { d.Timer(h.now, uint64(token)) }
	case "first_byte":
		id, no := m.requiredText(1), int(m.requiredInteger(2))
		event = func() { d.FirstByte(h.now, id, no) }
	case "ended":
		o := choice.Outcome{Request: m.requiredText(1), Attempt: int(m.requiredInteger(2)), Worker: m.requiredText(3),
			Code: enumField(m, 4, outcomeCodes), Latency: m.float(5, 0), Final: enumField(m, 6, bools),
			Remark: m.integer(7, 0), Report: m.report(8)}
		event = func() { d.Outcome(h.now, o) }
	case "heard":
		data, err := []byte(nil), error(nil)
		if m.text(2) != "" {
			if data, err = hex.DecodeString(m.values[2]); err != nil {
				m.fail(2, "is not hexadecimal")
			}
		}
		from := int(m.requiredInteger(1))
		event = func() { d.PeerMessage(h.now, from, data) }
	}
	if m.err == nil {
		event()
	}
	return m.err
}

var bools = map[string]bool{"0": false, "1": true}

func (inst *instance) parseRequest(m *message) choice.Request {
	class, ok := inst.classes[m.values[7]]
	if !ok {
		m.fail(7, fmt.Sprintf("unknown class %q", m.values[7]))
	}
	tenant, ok := inst.tenants[m.values[5]]
	if !ok {
		tenant = -1
	}
	flags := m.integer(6, 0)
	return choice.Request{ID: m.requiredText(1), Deadline: m.requiredFloat(2), Class: class, Tenant: tenant,
		Key: uint64(m.integer(3, 0)), HasKey: m.values[3] != "-", Memory: m.float(4, 0), Slots: m.float(9, 1),
		Hint: m.float(8, 0), HasHint: flags&flagHint != 0 && m.values[8] != "-", Repeat: flags&flagRepeat != 0,
		Write: flags&flagWrite != 0, Resumed: flags&flagResumed != 0}
}

// actions implements choice.Actions for an instance: it writes each action as a line of the reply.
type actions struct {
	out      *bufio.Writer
	instance int64
}

func (a *actions) begin(name string) {
	a.out.WriteString(name)
	a.integer(a.instance)
}

func (a *actions) integer(n int64) {
	a.out.WriteByte(' ')
	a.out.Write(strconv.AppendInt(a.out.AvailableBuffer(), n, 10))
}

func (a *actions) text(s string) {
	a.out.WriteByte(' ')
	a.out.WriteString(s)
}

func (a *actions) seconds(s float64) {
	a.out.WriteByte(' ')
	a.out.Write(strconv.AppendFloat(a.out.AvailableBuffer(), s, 'f', 6, 64))
}

func (a *actions) end() { a.out.WriteByte('\n') }

func (a *actions) Assign(request, worker string, until float64) {
	a.begin("assign")
	a.text(request)
	a.text(worker)
	if until > 0 {
		a.seconds(until)
	} else {
		a.text("-")
	}
	a.end()
}

func (a *actions) Refuse(request string, pause float64) {
	a.begin("busy")
	a.text(request)
	if pause > 0 {
		a.seconds(pause)
	} else {
		a.text("-")
	}
	a.end()
}

func (a *actions) writeLine(name, id string) {
	a.begin(name)
	a.text(id)
	a.end()
}

func (a *actions) Fail(request string)     { a.writeLine("respond_error", request) }
func (a *actions) Probe(worker string)     { a.writeLine("touch", worker) }
func (a *actions) CloseIdle(worker string) { a.writeLine("close_idle", worker) }

// Log replaces control characters by blanks, as the text must stay on one line.
func (a *actions) Log(text string) {
	a.writeLine("debug", strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text))
}

func (a *actions) Cancel(request string, attempt int) {
	a.begin("recall")
	a.text(request)
	a.integer(int64(attempt))
	a.end()
}

func (a *actions) Timer(delay float64, token uint64) {
	a.begin("timer")
	a.seconds(max(0, delay))
	a.integer(int64(token))
	a.end()
}

func (a *actions) SendToPeer(peer int, data []byte) {
	a.begin("say")
	if peer < 0 {
		a.text("*")
	} else {
		a.integer(int64(peer))
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
