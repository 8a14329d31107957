package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const valid = `
node: "front-a-1"
role: "dispatcher"
serves: ["front"]
ip: "10.9.0.3"
zone: "a"
zones: {a: "north", b: "north"}
listen: {front: "10.9.0.3:80", ready: "10.9.0.3:81"}
portRange: [7000, 7015]
seeds: ["10.9.0.3:82", "10.9.1.3:82"]
bootstrap: true
limits: {cpuShare: 0.4, cores: 2, memoryMb: 300, maxFds: 4100, linkMbps: 1000.0, diskMb: 64}
heartbeatMs: 1100
somethingNew: {deep: [1, 2]}
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {graceS: 6.5, drainMs: 2500, unknownBound: true}
cloud: {address: "10.9.9.9:80", ratePerS: 47, lagMs: 700, duties: []}
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestLoadIgnoresUnknownKeys(t *testing.T) {
	path := write(t, valid)
	loaded, err := Load(path)
	must.NoError(t, err)
	must.Eq(t, path, loaded.Path)
	must.Eq(t, "front-a-1", loaded.Node)
	must.Eq(t, "10.9.0.3:80", loaded.Listen.Front)
	must.Eq(t, []int{7000, 7015}, loaded.PortRange)
	must.Eq(t, 2.0, loaded.Limits.Cores)
	must.Eq(t, 6.5, loaded.Bounds.GraceS)
	must.Eq(t, 2500.0, loaded.Bounds.DrainMs)
	must.Eq(t, 47.0, loaded.Cloud.RatePerS)
	must.Eq(t, map[string]string{"a": "north", "b": "north"}, loaded.Zones)
	must.True(t, loaded.Bootstrap)
}

func TestLoadFillsInMissingBounds(t *testing.T) {
	loaded, err := Load(write(t, "node: n\nzone: z\nip: 10.0.0.1\nportRange: [1, 2]\n"))
	must.NoError(t, err)
	must.Eq(t, float64(defaultGraceS), loaded.Bounds.GraceS)
	must.Eq(t, float64(defaultContactMs), loaded.Bounds.ContactMs)
	must.Eq(t, defaultHeartbeatMs, loaded.HeartbeatMs)
	must.Eq(t, defaultMemoryMb, loaded.Limits.MemoryMb)
}

func TestLoadNamesTheFaultyKey(t *testing.T) {
	cases := []struct{ key, old, new string }{
		{"node", `node: "front-a-1"`, ``},
		{"zone", `zone: "a"`, `zone: ""`},
		{"ip", `ip: "10.9.0.3"`, `ip: "fe80::1"`},
		{"listen.front", `front: "10.9.0.3:80"`, `front: "10.9.0.3"`},
		{"listen.ready", `ready: "10.9.0.3:81"`, `ready: "10.9.0.3:99999"`},
		{"portRange", `[7000, 7015]`, `[7015, 7000]`},
		{"portRange", `[7000, 7015]`, `[7000]`},
		{"seeds[1]", `"10.9.1.3:82"`, `"nowhere"`},
		{"seeds[0]", `["10.9.0.3:82"`, `[""`},
		{"limits.memoryMb", `memoryMb: 300`, `memoryMb: -1`},
		{"faultTolerance.machines", `machines: 1`, `machines: -1`},
		{"bounds.graceS", `graceS: 6.5`, `graceS: -6`},
		{"cloud.address", `"10.9.9.9:80"`, `"10.9.9.9:http"`},
	}
	for _, test := range cases {
		t.Run(test.key, func(t *testing.T) {
			content := strings.Replace(valid, test.old, test.new, 1)
			must.NotEq(t, valid, content)
			_, err := Load(write(t, content))
			var invalid *ValidationError
			must.True(t, errors.As(err, &invalid))
			must.MapLen(t, 1, invalid.Faults)
			must.MapContainsKey(t, invalid.Faults, test.key)
			must.StrContains(t, err.Error(), test.key+": ")
		})
	}
}

func TestLoadReturnsReadError(t *testing.T) {
	for _, path := range []string{filepath.Join(t.TempDir(), "none"), write(t, "node: [unclosed"), write(t, "seeds: {a: 1}")} {
		_, err := Load(path)
		var unread *ReadError
		must.True(t, errors.As(err, &unread))
	}
}
