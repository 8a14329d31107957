package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawItems draws a configuration whose items have some of a few names, in any order.
func drawItems(t *rapid.T, version uint64) *Config {
	config := &Config{Version: version, Routes: []Route{}, Services: []Service{}}
	config.Limits.MaxBodyBytes = rapid.IntRange(0, 1).Draw(t, "limit")
	names := rapid.Permutation([]string{"a", "b", "c", "d", "e"}).Draw(t, "names")
	for _, name := range names[:rapid.IntRange(0, len(names)).Draw(t, "services")] {
		service := Service{Name: name, MaxConns: rapid.IntRange(1, 2).Draw(t, "connections")}
		if rapid.Bool().Draw(t, "static") {
			address := rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "address")
			service.StaticEndpoint = &address
		}
		config.Services = append(config.Services, service)
	}
	for _, name := range names[:rapid.IntRange(0, len(config.Services)).Draw(t, "routes")] {
		config.Routes = append(config.Routes, Route{Name: name, Service: name, TimeoutMs: float64(rapid.IntRange(1, 3).Draw(t, "timeout"))})
	}
	return config
}

// sortedJSON returns a configuration as JSON with its items sorted by name.
func sortedJSON(t must.T, config *Config) string {
	sorted := Config{Version: config.Version, Limits: config.Limits, Routes: slices.Clone(config.Routes), Services: slices.Clone(config.Services)}
	slices.SortFunc(sorted.Routes, func(one, other Route) int { return strings.Compare(one.Name, other.Name) })
	slices.SortFunc(sorted.Services, func(one, other Service) int { return strings.Compare(one.Name, other.Name) })
	data, err := json.Marshal(sorted)
	must.NoError(t, err)
	return string(data)
}

func TestDifferenceTransformsOneConfigurationIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawItems(t, 3), drawItems(t, 8)
		before := sortedJSON(t, from)
		data, err := json.Marshal(Difference(from, to))
		must.NoError(t, err)
		change, err := ParseChange(data)
		must.NoError(t, err)
		reached := from.With(change)
		must.Eq(t, sortedJSON(t, to), sortedJSON(t, reached))
		must.Eq(t, to.Digest(), reached.Digest())
		must.Eq(t, before, sortedJSON(t, from))
	})
}

func TestDigestDistinguishesConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := drawItems(t, 3), drawItems(t, 3)
		must.Eq(t, sortedJSON(t, one) == sortedJSON(t, other), one.Digest() == other.Digest())
	})
}

func TestInvalidChangeIsRejected(t *testing.T) {
	_, err := ParseChange([]byte(`{"version":`))
	must.Error(t, err)
}

// manyRoutes returns a configuration of the size that large deployments have.
func manyRoutes(count int) *Config {
	config := &Config{Version: 1, Services: []Service{{Name: "s", MaxConns: 40}}, Limits: Limits{MaxBodyBytes: 1000}}
	for i := range count {
		config.Routes = append(config.Routes, Route{Name: fmt.Sprintf("r-%07x", i*7919), Hostname: "host.example",
			PathPrefix: fmt.Sprintf("/path%d/", i), Type: typeForTest, TimeoutMs: 800, Service: "s", Retries: 4, RetentionS: 90})
	}
	return config
}

const typeForTest = "async"

// BenchmarkChange measures applying one change to a configuration with 900 routes.
func BenchmarkChange(b *testing.B) {
	from := manyRoutes(900)
	to := from.With(&Change{Version: 2, Routes: []Route{{Name: "new", Hostname: "h", PathPrefix: "/n/", Type: typeForTest, TimeoutMs: 1, Service: "s"}}})
	data, err := json.Marshal(Difference(from, to))
	must.NoError(b, err)
	b.ReportMetric(float64(len(data)), "B/change")
	for b.Loop() {
		change, err := ParseChange(data)
		must.NoError(b, err)
		must.Eq(b, to.Digest(), to.With(change).Digest())
	}
}

// BenchmarkWhole measures parsing the full configuration instead.
func BenchmarkWhole(b *testing.B) {
	data, err := json.Marshal(manyRoutes(900))
	must.NoError(b, err)
	b.ReportMetric(float64(len(data)), "B/whole")
	for b.Loop() {
		_, err := Parse(data)
		must.NoError(b, err)
	}
}
