package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964","more":1,
 "limits":{"cores":0.5,"memory_mb":96,"sockets":512},
 "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.3:1","zone":"a","kind":"m","cell":3,"state":"active","weight":2,"started_ms":1500}]},
 "settings":{"balancers":2,"me":1,"zone":"a","allowed":{"max_attempts":6},"classes":[{"name":"c","effect":"at_most_once","deadline_s":5}]}}`

func emptyEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), func(k string) string { return map[string]string{"NODE_NAME": "n9"}[k] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n9" || c.Listen != "127.0.0.1:8443" || c.Limits != (core.Limits{Cores: 0.5, MemoryMB: 96, Sockets: 512}) ||
		c.Settings.Seed != 0x8c1f30d27a5be964 || c.Settings.Self != 1 || len(c.Settings.Classes) != 1 ||
		c.KnownRoutes.Version != 41 || len(c.KnownRoutes.Workers) != 1 || c.KnownRoutes.Workers[0].Started != 1.5 {
		t.Errorf("parsed as %+v", c)
	}
	if c.Settings.DialTimeout != defaultDialTimeoutS || c.Settings.ConnIdle != defaultIdleCloseS {
		t.Errorf("defaults: dial %v, idle %v", c.Settings.DialTimeout, c.Settings.ConnIdle)
	}
}

// TestReload checks that a reload takes the discovery address from the file and not from the environment of the start.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string {
		return map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.0.9:1", "NODE_LISTEN": "127.0.0.8:1"}[k]
	}
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	first, err := Load(env)
	if err != nil || first.Discovery != "127.0.0.9:1" {
		t.Fatalf("loaded with discovery %q, %v", first.Discovery, err)
	}
	again, err := Reload(env)
	if err != nil || again.Discovery != "127.0.0.2:8500" || again.Listen != first.Listen {
		t.Errorf("reloaded with discovery %q, listen %q, %v", again.Discovery, again.Listen, err)
	}
	if keys := KeysNeedingRestart(first, again); len(keys) != 0 {
		t.Errorf("keys that need a restart: %v", keys)
	}
	again.Name, again.Settings.MaxAttempts = "n7", 9
	if keys := KeysNeedingRestart(first, again); !reflect.DeepEqual(keys, []string{"name", "settings"}) {
		t.Errorf("keys that need a restart: %v", keys)
	}
}

// TestErrorsNameTheKey makes one change to a valid configuration; the error must name the changed key.
func TestErrorsNameTheKey(t *testing.T) {
	for _, tc := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:8443",`, ``, "listen"},
		{`127.0.0.1:8443`, `127.0.0.1`, "listen"},
		{`127.0.0.1:8443`, `127.0.0.1:99999`, "listen"},
		{`127.0.0.2:8500`, ``, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"cores":0.5`, `"cores":"much"`, "limits.cores"},
		{`"memory_mb":96`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":512`, `"sockets":9`, "limits.sockets"},
		{`"state":"active"`, `"state":"asleep"`, "known: servers[0].state"},
		{`"version":41,`, ``, "known: version"},
		{`"max_attempts":6`, `"max_attempts":0`, "settings: allowed.max_attempts"},
		{`"balancers":2`, `"balancers":0`, "settings: balancers"},
		{`"max_attempts":6`, `"max_attempts":"six"`, "allowed.max_attempts"},
		{`at_most_once`, `sometimes`, "settings: classes.effect"},
		{`"deadline_s":5`, `"deadline_s":5},{"name":"c"`, "settings: classes[1].name"},
		{`"classes":[`, `"klasses":[`, "settings: classes"},
		{`"settings":{`, `"setting":{`, "settings"},
		{`"settings":{`, `"settings":3,"other":{`, "settings"},
		{`{"name"`, `["name"`, "NODE_CONFIG"},
	} {
		text := strings.Replace(validConfig, tc.from, tc.to, 1)
		if text == validConfig {
			t.Fatalf("%q is not in the configuration", tc.from)
		}
		if _, err := Parse([]byte(text), emptyEnv); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s -> %s: error %v does not name %q", tc.from, tc.to, err, tc.want)
		}
	}
	if _, err := Load(emptyEnv); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("without NODE_CONFIG: %v", err)
	}
}
