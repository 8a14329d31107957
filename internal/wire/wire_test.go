package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settingsJSON = `{"balancers": 2, "me": 1, "zone": "z", "unknown_key": [1, {"x": 2}],
 "allowed": {"max_attempts": 3, "second_copies": true},
 "classes": [{"name": "safe", "effect": "idempotent", "aim_s": 0.2, "deadline_s": 5, "worth": 1},
 {"name": "once", "effect": "at_most_once", "aim_s": 0.2, "deadline_s": 5, "worth": 1}]}`

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "") }

func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

var openingLines = []string{"clock 1.5", "new_instance 3 77 " + oneLine(settingsJSON), "ledger 0 1",
	"entry 10.0.0.1:8000 z k 0 in_service 1 -", "endpoints 3 1 0 remembered"}

func TestEveryMessage(t *testing.T) {
	out, err := serve(t, append(openingLines,
		"ask 3 r1 6.5 - - 0 0 once - 1", "ask 3 r2 6.5 12 1.5 - 23 safe 0.2 2", "eob",
		"clock 1.6", "note 3 r1 10.0.0.1:8000 0 1 -", "note 3 r1 10.0.0.1:8000 0 2 0.25",
		"health 3 10.0.0.1:8000 0.001 done 1,2", "heard 3 0 00ff", "heard 3 0 -", "bell 3 1", "first_byte 3 r2 0 10.0.0.1:8000 0.1", "eob",
		"clock 1.7", "ended 3 r1 0 10.0.0.1:8000 err 0.2 0 - -", "withdrawn 3 r2", "endpoints 3 2 0 changes",
		"endpoints 3 3 0 all", "endpoints 3 4 0 refused", "eob",
		"clock 1.8", "stop 3", "new_instance 3 78 "+oneLine(settingsJSON), "ledger 0 0", "endpoints 3 5 0 remembered",
		"ask 3 r3 6.5 - - - 0 once - 1", "eob", "clock 1.8", "eob")...)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"assign 3 r1 10.0.0.1:8000 -\n", "assign 3 r2 10.0.0.1:8000 -\n",
		"respond_error 3 r1\n", "busy 3 r3 -\n"} {
		if strings.Count(out, want) != 1 {
			t.Errorf("%q occurs %d times instead of once in:\n%s", want, strings.Count(out, want), out)
		}
	}
	if n := strings.Count(out, "eor\n"); n != 5 {
		t.Errorf("%d replies to 5 batches", n)
	}
}

func TestErrorsNameMessageAndField(t *testing.T) {
	for _, tc := range []struct {
		lines []string
		want  []string
	}{
		{[]string{"clock x", "eob"}, []string{"clock", "x"}},
		{[]string{"eob"}, []string{"begins with clock"}},
		{[]string{"clock 1", "what 3", "eob"}, []string{"unknown message", "what"}},
		{[]string{"clock 1"}, []string{"eob is missing"}},
		{[]string{"clock 1", "bell 9 1", "eob"}, []string{"bell", "no instance 9"}},
		{[]string{"clock 1", "new_instance 3 77 {", "eob"}, []string{"new_instance", "conf"}},
		{[]string{"clock 1", "new_instance 3 77 {}", "eob"}, []string{"new_instance", "conf", "class"}},
		{append(openingLines, "ask 3 r1 soon - - - 0 once - 1", "eob"), []string{"ask", "expires_s", "soon"}},
		{append(openingLines, "ask 3 r1 6.5 - - - 0 never - 1", "eob"), []string{"ask", "priority", "never"}},
		{append(openingLines, "ask 3 r1 6.5", "eob"), []string{"ask", "partition_key", "missing"}},
		{append(openingLines, "ended 3 r1 0 w odd 0.2 0 - -", "eob"), []string{"ended", "code", "odd"}},
		{append(openingLines, "ended 3 r1 0 w done 0.2 2 - -", "eob"), []string{"ended", "final"}},
		{append(openingLines, "ended 3 r1 0 w done 0.2 0 - 1,a", "eob"), []string{"ended", "load"}},
		{append(openingLines, "endpoints 3 1 7 all", "eob"), []string{"endpoints", "sheet", "no such ledger"}},
		{append(openingLines, "endpoints 3 1 0 some", "eob"), []string{"endpoints", "form", "some"}},
		{append(openingLines, "heard 3 1 zz", "eob"), []string{"heard", "data"}},
		{[]string{"clock 1", "ledger 0 2", "entry a z k 0 in_service 1 -", "eob"}, []string{"entries", "2 announced"}},
		{[]string{"clock 1", "ledger 0 1", "entry a z k 0 asleep 1 -", "eob"}, []string{"availability", "asleep"}},
	} {
		_, err := serve(t, tc.lines...)
		for _, w := range tc.want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("%q: error %v does not contain %q", tc.lines[len(tc.lines)-2:], err, w)
			}
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error with several lines: %v", err)
		}
	}
}

func TestInstancesShareNothing(t *testing.T) {
	linesFor := func(i int) []string {
		var b []string
		for _, l := range openingLines[1:] {
			b = append(b, strings.Replace(l, " 3 ", fmt.Sprintf(" %d ", i), 1))
		}
		for k := range 30 {
			b = append(b, fmt.Sprintf("ask %d r%d 6.5 - - - 0 safe - 1", i, k))
		}
		return b
	}
	alone, err := serve(t, append(append([]string{"clock 1.5"}, linesFor(4)...), "eob")...)
	if err != nil {
		t.Fatal(err)
	}
	both, err := serve(t, append(append(append([]string{"clock 1.5"}, linesFor(5)...), linesFor(4)...), "eob")...)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range strings.SplitAfter(both, "\n") {
		if f := strings.Fields(l); len(f) == 1 || len(f) > 1 && f[1] == "4" {
			got = append(got, l)
		}
	}
	if strings.Join(got, "") != alone {
		t.Error("an instance acts differently beside another")
	}
}
