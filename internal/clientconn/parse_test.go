package clientconn

import (
	"bufio"
	"reflect"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

func TestParseCall(t *testing.T) {
	full := "X-Txn: 9b1f\r\nX-Lane: c\r\nX-Remaining: 0.480\r\n"
	message := core.Message{Verb: "POST", Target: "/api?q=%2f../x"}
	plain := core.Call{ID: "9b1f", Class: "c", Remaining: 0.48, Slots: 1, Message: message}
	with := func(change func(*core.Call)) core.Call {
		c := plain
		change(&c)
		return c
	}
	for _, tc := range []struct {
		headers, body string
		want          core.Call
		err           string
	}{
		{headers: full, want: plain},
		{headers: full + "X-Entity: 7f3a9c21e0b4d655\r\n", want: with(func(c *core.Call) { c.Key, c.HasKey = 0x7f3a9c21e0b4d655, true })},
		{headers: full + "X-Labels: slots=2,memory=2.293,other=x\r\n", want: with(func(c *core.Call) { c.Slots, c.Memory = 2, 2.293 })},
		{headers: full + "X-Resent: 1\r\nX-Org: t\r\n", want: with(func(c *core.Call) { c.Repeat, c.Tenant = true, "t" })},
		{headers: full + "X-Estimate: 0.25\r\n", want: with(func(c *core.Call) { c.Hint, c.HasHint = 0.25, true })},
		// A body may contain text that looks like HTTP.
		{headers: full + "Idempotency-Key: 5c0f\r\n", body: "a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\x00", want: with(func(c *core.Call) {
			c.Message.Token, c.Message.Body = "5c0f", []byte("a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\x00")
		})},
		{headers: "X-Lane: c\r\nX-Remaining: 1\r\n", err: "X-Txn"},
		{headers: "X-Txn: ../jobs\r\nX-Lane: c\r\nX-Remaining: 1\r\n", err: "X-Txn"},
		{headers: "X-Txn: ..\r\nX-Lane: c\r\nX-Remaining: 1\r\n", err: "X-Txn"},
		{headers: "X-Txn: " + strings.Repeat("a", 129) + "\r\nX-Lane: c\r\nX-Remaining: 1\r\n", err: "X-Txn"},
		{headers: "X-Txn: 1\r\nX-Remaining: 1\r\n", err: "X-Lane"},
		{headers: "X-Txn: 1\r\nX-Lane: c\r\n", err: "X-Remaining"},
		{headers: "X-Txn: 1\r\nX-Lane: c\r\nX-Remaining: NaN\r\n", err: "X-Remaining"},
		{headers: "X-Txn: 1\r\nX-Lane: c\r\nX-Remaining: -1\r\n", err: "X-Remaining"},
		{headers: "X-Txn: 1\r\nX-Lane: c\r\nX-Remaining: 1e9\r\n", err: "X-Remaining"},
		{headers: full + "X-Labels: slots\r\n", err: "X-Labels"},
		{headers: full + "X-Labels: slots=-2\r\n", err: "X-Labels"},
		{headers: full + "X-Estimate: much\r\n", err: "X-Estimate"},
	} {
		var req fasthttp.Request
		req.SetBodyString(tc.body)
		raw := "POST /api?q=%2f../x HTTP/1.1\r\nHost: h\r\n" + tc.headers + "\r\n"
		if err := req.Header.Read(bufio.NewReader(strings.NewReader(raw))); err != nil {
			t.Fatal(err)
		}
		got, err := parseCall(&req)
		if len(got.Message.Body) == 0 {
			got.Message.Body = nil
		}
		if tc.err != "" {
			if err == nil || !strings.Contains(err.Error(), tc.err) {
				t.Errorf("%q: error %v does not contain %q", tc.headers, err, tc.err)
			}
		} else if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%q: parsed as %+v, error %v", tc.headers, got, err)
		}
	}
}

func TestParseCallback(t *testing.T) {
	for _, tc := range []struct {
		body string
		want core.JobReported
		err  string
	}{
		{body: `{"id":"r","from":"s","state":"started"}`, want: core.JobReported{Request: "r", From: "s"}},
		{body: `{"id":"r","from":"s","state":"running","share":0.4,"x":[]}`,
			want: core.JobReported{Request: "r", From: "s", State: core.JobRunning, Share: 0.4}},
		{body: `{"id":"r","from":"s","state":"done","result":"ok"}`,
			want: core.JobReported{Request: "r", From: "s", State: core.JobDone, Result: []byte("ok")}},
		{body: `{"id":"r","from":"s","state":"failed"}`, want: core.JobReported{Request: "r", From: "s", State: core.JobFailed}},
		{body: `{"id":"r","from":"s","state":"returned"}`, want: core.JobReported{Request: "r", From: "s", State: core.JobReturned}},
		{body: `{"id":"r","from":"s","state":"lost"}`, want: core.JobReported{Request: "r", From: "s", State: core.JobLost}},
		{body: `{"from":"s","state":"done","result":"ok"}`, err: "id"},
		{body: `{"id":"r","state":"done","result":"ok"}`, err: "from"},
		{body: `{"id":"r","from":"s","state":"done"}`, err: "result"},
		{body: `{"id":"r","from":"s","state":"odd"}`, err: "state"},
		{body: `{"id":"r","from":"s","state":"running","share":2}`, err: "share"},
		{body: `{"id":"r","from":"s"`, err: "not a call-back"},
		{body: `[]`, err: "not a call-back"},
		{body: ``, err: "not a call-back"},
	} {
		got, err := parseCallback([]byte(tc.body))
		if tc.err != "" {
			if err == nil || !strings.Contains(err.Error(), tc.err) {
				t.Errorf("%s: error %v does not contain %q", tc.body, err, tc.err)
			}
		} else if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: parsed as %+v, error %v", tc.body, got, err)
		}
	}
}
