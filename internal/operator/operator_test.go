package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	c, err := Parse([]byte(`
control { socket = "control.sock" }
upgrade {
  binary         = "/opt/foldlb"
  probation      = "3s"
  same_decisions = true
  keep_pid       = true
}
log { format = "json" }
`), "/etc/foldlb/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Control.Socket = "/etc/foldlb/control.sock"
	want.Upgrade.Binary, want.Upgrade.Probation, want.Upgrade.RequireSameDecisions, want.Upgrade.KeepPID = "/opt/foldlb", 3*time.Second, true, true
	want.Log.Format = "json"
	if !reflect.DeepEqual(c, want) {
		t.Errorf("parsed as %+v, want %+v", c, want)
	}
	if c, err := Parse(nil, "x.hcl"); err != nil || !reflect.DeepEqual(c, Default()) {
		t.Errorf("an empty file: %+v, %v", c, err)
	}
}

// TestErrorsNameFileLineAndKey checks that errors name the position of the fault.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"control {\n socket = 3 +\n}":    "op.hcl:2",
		"control {\n sockets = \"a\"\n}": "op.hcl:2",
		"controls {\n}":                  "op.hcl:1",
		"control { socket = \"a\" }\nupgrade {\n probation = \"soon\"\n}":    "op.hcl:3: upgrade.probation",
		"control { socket = \"a\" }\nupgrade {\n probation = \"1h\"\n}":      "op.hcl:3: upgrade.probation",
		"control { socket = \"a\" }\nupgrade {\n\n hold_at_most = \"5s\"\n}": "op.hcl:4: upgrade.hold_at_most",
		"\nupgrade {\n}":              "op.hcl:2: upgrade",
		"log {\n format = \"xml\"\n}": "op.hcl:2: log.format",
		"control {\n socket = \"" + strings.Repeat("a", 200) + "\"\n}":                        "op.hcl:2: control.socket",
		"control { socket = \"a\" }\ncontrol { socket = \"b\" }":                              "op.hcl:2",
		"control { socket = \"a\" }\nupgrade {\n keep_pid = \"perhaps\"\n}":                   "op.hcl:3",
		"audit {\n version = -1\n}":                                                           "op.hcl:2: audit.version",
		"audit {\n files = 0\n}":                                                              "op.hcl:2: audit.files",
		"audit {\n file_mb = 9999\n}":                                                         "op.hcl:2: audit.file_mb",
		"fleet {\n name = \"f\"\n}":                                                           "op.hcl:1: fleet.listen",
		"fleet {\n listen = \"127.0.0.1:1\"\n}":                                               "op.hcl:1: fleet.name",
		"fleet {\n name = \"f\"\n listen = \"127.0.0.1\"\n}":                                  "op.hcl:3: fleet.listen",
		"fleet {\n name = \"f\"\n listen = \"9.9.9.9:1\"\n}":                                  "op.hcl:3: fleet.listen",
		"fleet {\n name = \"f\"\n listen = \"0.0.0.0:1\"\n}":                                  "op.hcl:3: fleet.listen",
		"fleet {\n name = \"f\"\n listen = \"10.0.0.1:1\"\n advertise = \"x\"\n}":             "op.hcl:4: fleet.advertise",
		"fleet {\n name = \"f\"\n listen = \"10.0.0.1:1\"\n seeds = [\"x\"]\n}":               "op.hcl:4: fleet.seeds",
		"fleet {\n name = \"f\"\n listen = \"10.0.0.1:1\"\n allow = [\"10.0.0.0/99\"]\n}":     "op.hcl:4: fleet.allow",
		"fleet {\n name = \"f\"\n listen = \"10.0.0.1:1\"\n probe_every = \"1ms\"\n}":         "op.hcl:4: fleet.probe_every",
		"control { socket = \"a\" }\nupgrade {\n act_within = \"x\"\n take_within = \"y\"\n}": "op.hcl:4: upgrade.take_within",
	} {
		if _, err := Parse([]byte(text), "op.hcl"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v does not name %q", text, err, want)
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.hcl")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("no file: %v", err)
	}
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("a large file: %v", err)
	}
}

// TestHoldsAreBounded checks that an upgrade can't suspend request handling for longer than a drain may take to be noticed.
func TestHoldsAreBounded(t *testing.T) {
	d := Default().Upgrade
	if sum := d.HoldTimeout + d.TransferTimeout + d.CommitTimeout; sum > maxHold {
		t.Errorf("the defaults add up to %v", sum)
	}
	_, err := Parse([]byte("control { socket = \"a\" }\n\nupgrade {\n take_within = \"500ms\"\n}"), "op.hcl")
	if err == nil || !strings.Contains(err.Error(), "op.hcl:3: upgrade: hold_at_most") {
		t.Errorf("a long hold: %v", err)
	}
}
