// Package config reads and validates a dispatcher's configuration and sets its defaults. Errors name the
// faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/routeset"
)

// Config is the configuration that a dispatcher starts with.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	Mgmt        string // host:port of the admin HTTP interface; empty if there is none
	Limits      core.Limits
	KnownRoutes core.RouteSet // the last route set known to this dispatcher; may be outdated
	Settings    choice.Settings

	rawSettings []byte // the settings object as JSON, including unknown keys
}

// Defaults of optional keys, and the minimum limits that a dispatcher runs with.
const (
	defaultCores        = 1.0
	defaultMemoryMB     = 192
	defaultSockets      = 1024
	defaultDialTimeoutS = 0.25
	defaultIdleCloseS   = 5.0
	minMemoryMB         = 32
	minSockets          = 128
)

const envDiscovery = "NODE_DISCOVERY"

// configFile is the JSON format of the file that NODE_CONFIG names. Unknown keys are ignored.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	KnownRoutes jsoniter.RawMessage `json:"known"`
	Settings    jsoniter.RawMessage `json:"settings"`
}

// Load reads and validates the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and
// NODE_MGMT override the file's values if they are set.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Reload reads the file again and ignores NODE_DISCOVERY: that variable still holds the address given at the
// start of the process, and would override a new address in the file.
func Reload(getenv func(string) string) (Config, error) {
	return Load(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// KeysNeedingRestart returns the keys that differ between two configurations and that a reload does not apply.
func KeysNeedingRestart(old, now Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == now.Name},
		{"listen", old.Listen == now.Listen},
		{"mgmt", old.Mgmt == now.Mgmt},
		{"settings", reflect.DeepEqual(old.Settings, now.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// Parse reads and validates a configuration from JSON. The environment overrides values as in Load.
func Parse(text []byte, getenv func(string) string) (Config, error) {
	f := configFile{}
	f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets = defaultCores, defaultMemoryMB, defaultSockets
	if err := decode(text, &f); err != nil {
		return Config{}, fmt.Errorf("NODE_CONFIG: not a configuration object: %w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Mgmt: f.Mgmt, Limits: core.Limits(f.Limits)}
	for _, v := range []struct {
		name string
		to   *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {envDiscovery, &c.Discovery}, {"NODE_MGMT", &c.Mgmt}} {
		if x := getenv(v.name); x != "" {
			*v.to = x
		}
	}
	if err := checkHostPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if err := checkHostPort(c.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if c.Mgmt != "" {
		if err := checkHostPort(c.Mgmt); err != nil {
			return c, fmt.Errorf("mgmt: %w", err)
		}
	}
	switch {
	case c.Limits.Cores <= 0:
		return c, fmt.Errorf("limits.cores: %v must be above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		return c, fmt.Errorf("limits.memory_mb: %d is below the minimum of %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return c, fmt.Errorf("limits.sockets: %d is below the minimum of %d", c.Limits.Sockets, minSockets)
	}
	if len(f.KnownRoutes) > 0 && string(f.KnownRoutes) != "null" {
		set, err := routeset.Parse(f.KnownRoutes)
		if err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
		c.KnownRoutes = set
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	s, err := parseAndCheck(f.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if f.Seed != "" {
		if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("seed: %q must be a number of up to 16 hex digits", f.Seed)
		}
	}
	c.Settings, c.rawSettings = s, f.Settings
	return c, nil
}

// decode reads a JSON object. After an error of json-iterator, which names Go fields, the standard decoder
// reads the object again, because its error names the faulty key.
func decode(text []byte, to any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, to)
	if err == nil {
		return nil
	}
	var typed *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, to), &typed) && typed.Field != "" {
		return fmt.Errorf("%s: got a %s, want %s", typed.Field, typed.Value, typed.Type)
	}
	return err
}

// checkSettings returns an error for settings with which a dispatcher can't meet its guarantees.
func checkSettings(s choice.Settings) error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("classes: at least one is required")
	case s.Dispatchers < 1:
		return fmt.Errorf("balancers: %d is below the minimum of 1", s.Dispatchers)
	case s.MaxAttempts < 1:
		return fmt.Errorf("allowed.max_attempts: %d is below the minimum of 1", s.MaxAttempts)
	case s.DialTimeout < 0:
		return fmt.Errorf("allowed.dial_timeout_s: %v must not be negative", s.DialTimeout)
	case s.ConnIdle < 0:
		return fmt.Errorf("allowed.idle_close_s: %v must not be negative", s.ConnIdle)
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("classes[%d].name: %q is empty or a duplicate", i, c.Name)
		}
		if c.Stream {
			return fmt.Errorf("classes[%d].stream: streamed responses are not supported", i)
		}
		seen[c.Name] = true
	}
	return nil
}

func checkHostPort(addr string) error {
	if addr == "" {
		return errors.New("missing")
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q must be host:port: %w", addr, err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: port %q must be a number up to 65535", addr, port)
	}
	return nil
}
