package clientconn

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

const (
	headerID        = "X-Txn"
	headerClass     = "X-Lane"
	headerTenant    = "X-Org"
	headerKey       = "X-Entity"
	headerRemaining = "X-Remaining"
	headerResent    = "X-Resent"
	headerHint      = "X-Estimate"
	headerLabels    = "X-Labels"
	headerToken     = "Idempotency-Key"

	labelSlots, labelMemory = "slots", "memory"

	maxIDBytes    = 128
	maxRemainingS = 3600.0
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// singleHeaders lists the headers that frame a request or that the dispatcher reads. They may occur only once, because
// two readers could pick different values.
var singleHeaders = []string{fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, headerID, headerClass,
	headerTenant, headerKey, headerRemaining, headerResent, headerHint, headerLabels, headerToken}

// checkHead rejects requests that two HTTP parsers could interpret differently; fasthttp is more lenient. A body with
// ambiguous framing could smuggle a second request, which a worker would run.
func checkHead(h *fasthttp.RequestHeader) error {
	if p := string(h.Protocol()); p != "HTTP/1.1" && p != "HTTP/1.0" {
		return fmt.Errorf("protocol %q is not served", p)
	}
	if target := h.RequestURI(); len(target) == 0 || target[0] != '/' {
		return errors.New("the target is not a path")
	}
	var seen [16]bool
	for raw := h.RawHeaders(); len(raw) > 0; {
		line, rest, ended := bytes.Cut(raw, []byte("\n"))
		raw = rest
		if !ended || len(line) == 0 || line[len(line)-1] != '\r' {
			return errors.New("a header's line does not end in CR LF")
		}
		if line[0] == ' ' || line[0] == '\t' {
			return errors.New("a header is folded")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		for i, s := range singleHeaders {
			if len(s) == len(name) && strings.EqualFold(s, string(name)) {
				if seen[i] {
					return fmt.Errorf("%s: is there twice", s)
				}
				seen[i] = true
			}
		}
	}
	if seen[0] && seen[1] {
		return errors.New("both Content-Length and Transfer-Encoding are there")
	}
	return nil
}

// parseCall reads a caller's job from a request. fasthttp reuses its buffers, so header values are copied; the body is
// taken out of the request, so that a large one is in memory only once.
func parseCall(req *fasthttp.Request) (core.Call, error) {
	h := &req.Header
	c := core.Call{ID: core.RequestID(h.Peek(headerID)), Class: string(h.Peek(headerClass)),
		Tenant: string(h.Peek(headerTenant)), Repeat: string(h.Peek(headerResent)) == "1", Slots: 1}
	if !validID(string(c.ID)) {
		return c, fmt.Errorf("%s: %q is not an id", headerID, c.ID)
	}
	if c.Class == "" {
		return c, fmt.Errorf("%s: is missing", headerClass)
	}
	var err error
	if c.Remaining, err = number(string(h.Peek(headerRemaining))); err != nil || c.Remaining > maxRemainingS {
		return c, fmt.Errorf("%s: %q is not a time in seconds", headerRemaining, h.Peek(headerRemaining))
	}
	if hint := h.Peek(headerHint); len(hint) > 0 {
		if c.Hint, err = number(string(hint)); err != nil {
			return c, fmt.Errorf("%s: %w", headerHint, err)
		}
		c.HasHint = true
	}
	if key := h.Peek(headerKey); len(key) > 0 {
		c.Key, c.HasKey = entityKey(string(key)), true
	}
	if err := parseLabels(string(h.Peek(headerLabels)), &c); err != nil {
		return c, fmt.Errorf("%s: %w", headerLabels, err)
	}
	token := string(h.Peek(headerToken))
	if token != "" && !validToken(token) {
		return c, fmt.Errorf("%s: is not a key", headerToken)
	}
	c.Message = core.Message{Verb: string(h.Method()), Target: string(h.RequestURI()),
		Token: token, Body: req.SwapBody(nil)}
	return c, nil
}

// validID reports whether an id is not empty, has at most maxIDBytes bytes and needs no escaping in a path or a header.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes || strings.Trim(id, ".") == "" {
		return false
	}
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', strings.ContainsRune("-._~", r):
		default:
			return false
		}
	}
	return true
}

// validToken reports whether a token has at most maxIDBytes bytes and needs no escaping in a header.
func validToken(token string) bool {
	return len(token) <= maxIDBytes && strings.IndexFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// number parses a decimal number of 0 or more, without sign or exponent.
func number(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789.") != "" {
		return 0, fmt.Errorf("%q is not a number of 0 or more", s)
	}
	return x, nil
}

// entityKey maps a key to a number, which is the same on every dispatcher: hexadecimal keys by value, others by hash.
func entityKey(s string) uint64 {
	if n, err := strconv.ParseUint(s, 16, 64); err == nil {
		return n
	}
	f := fnv.New64a()
	f.Write([]byte(s))
	return f.Sum64()
}

// parseLabels parses name=value,name=value into the call. Unknown names are ignored.
func parseLabels(s string, c *core.Call) error {
	for part := range strings.SplitSeq(s, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return fmt.Errorf("%q is not name=value", part)
		}
		var to *float64
		switch name {
		case labelSlots:
			to = &c.Slots
		case labelMemory:
			to = &c.Memory
		default:
			continue
		}
		x, err := number(value)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		*to = x
	}
	return nil
}

// callbackBody is the JSON body of a worker's callback on a job.
type callbackBody struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share"`
	Result *string `json:"result"`
}

var jobStatesByName = map[string]core.JobState{"started": core.JobStarted, "running": core.JobRunning,
	"done": core.JobDone, "failed": core.JobFailed, "returned": core.JobReturned, "lost": core.JobLost}

// parseCallback parses and validates the body of a callback.
func parseCallback(body []byte) (core.JobReported, error) {
	var c callbackBody
	if err := json.Unmarshal(body, &c); err != nil {
		return core.JobReported{}, fmt.Errorf("not a call-back: %w", err)
	}
	state, ok := jobStatesByName[c.State]
	r := core.JobReported{Request: core.RequestID(c.ID), From: core.WorkerID(c.From), State: state, Share: c.Share}
	switch {
	case c.ID == "":
		return r, errors.New("id: is missing")
	case c.From == "":
		return r, errors.New("from: is missing")
	case !ok:
		return r, fmt.Errorf("state: unknown word %q", c.State)
	case c.Share < 0 || c.Share > 1:
		return r, fmt.Errorf("share: %v is not from 0 to 1", c.Share)
	case state == core.JobDone && c.Result == nil:
		return r, errors.New("result: is missing")
	}
	if c.Result != nil {
		r.Result = []byte(*c.Result)
	}
	return r, nil
}
