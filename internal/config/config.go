// Package config is the one place where a dispatcher's configuration is read, checked and given defaults.
// Its errors name the faulty key.
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

// Config is all that a dispatcher is told at its start.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	Mgmt        string // where operators call; empty for nowhere
	Limits      core.Limits
	KnownRoutes core.RouteSet // as this dispatcher last held it; may be old
	Settings    choice.Settings

	raw []byte // the settings as they were read
}

// The defaults of what may be absent, and the least that a dispatcher runs with.
const (
	defaultCores       = 1.0
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultDialTimeout = 0.25 // seconds
	defaultIdleClose   = 5.0
	leastMemoryMB      = 32
	leastSockets       = 128
)

const envDiscovery = "NODE_DISCOVERY"

// file is NODE_CONFIG's format. Keys it does not name are skipped.
type file struct {
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

// Load reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_MGMT, where
// they are set, stand above the file.
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

// Reload reads the file again. Danger: NODE_DISCOVERY still holds the address of the start, and standing above
// the file it would hide the new one.
func Reload(getenv func(string) string) (Config, error) {
	return Load(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// KeysNeedingRestart names the keys that differ between two configurations and that a reload does not change.
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

// Parse reads a configuration's text.
func Parse(text []byte, getenv func(string) string) (Config, error) {
	f := file{}
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
	if err := checkAddr(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if err := checkAddr(c.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if c.Mgmt != "" {
		if err := checkAddr(c.Mgmt); err != nil {
			return c, fmt.Errorf("mgmt: %w", err)
		}
	}
	switch {
	case c.Limits.Cores <= 0:
		return c, fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < leastMemoryMB:
		return c, fmt.Errorf("limits.memory_mb: %d, at least %d are needed", c.Limits.MemoryMB, leastMemoryMB)
	case c.Limits.Sockets < leastSockets:
		return c, fmt.Errorf("limits.sockets: %d, at least %d are needed", c.Limits.Sockets, leastSockets)
	}
	if len(f.KnownRoutes) > 0 && string(f.KnownRoutes) != "null" {
		set, err := routeset.Parse(f.KnownRoutes)
		if err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
		c.KnownRoutes = set
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings: is missing")
	}
	s, err := checked(f.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if f.Seed != "" {
		if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
	}
	c.Settings, c.raw = s, f.Settings
	return c, nil
}

// decode reads an object. json-iterator's errors name Go's fields; the standard decoder is asked again then,
// since it names the faulty key.
func decode(text []byte, to any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, to)
	if err == nil {
		return nil
	}
	var typed *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, to), &typed) && typed.Field != "" {
		return fmt.Errorf("%s: a %s where %s is wanted", typed.Field, typed.Value, typed.Type)
	}
	return err
}

// checkSettings refuses what a dispatcher could not keep its promises with.
func checkSettings(s choice.Settings) error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("classes: at least one is needed")
	case s.Dispatchers < 1:
		return fmt.Errorf("balancers: %d, at least 1 is needed", s.Dispatchers)
	case s.MaxAttempts < 1:
		return fmt.Errorf("allowed.max_attempts: %d, at least 1 is needed", s.MaxAttempts)
	case s.DialTimeout < 0:
		return fmt.Errorf("allowed.dial_timeout_s: %v is below 0", s.DialTimeout)
	case s.ConnIdle < 0:
		return fmt.Errorf("allowed.idle_close_s: %v is below 0", s.ConnIdle)
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("classes[%d].name: %q is empty or there twice", i, c.Name)
		}
		if c.Stream {
			return fmt.Errorf("classes[%d].stream: streamed answers are not served", i)
		}
		seen[c.Name] = true
	}
	return nil
}

func checkAddr(addr string) error {
	if addr == "" {
		return errors.New("is missing")
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port: %w", addr, err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: port %q is not a number up to 65535", addr, port)
	}
	return nil
}
