package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const small = `{"version":5,"routes":[
 {"name":"r1","hostname":"One.example","pathPrefix":"/a/","type":"async","timeoutMs":600,"service":"s1","fifo":true,"extra":[1]},
 {"name":"r2","hostname":"one.example","pathPrefix":"/a/b/","type":"async","timeoutMs":600.5,"service":"s2","retries":4}],
 "services":[{"name":"s1","ratePerS":39.0,"staticEndpoint":"10.0.0.1:80"},{"name":"s2","staticEndpoint":null}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"more":{}}`

func parseSmall(t *testing.T) *Config {
	t.Helper()
	config, err := Parse([]byte(small))
	must.NoError(t, err)
	return config
}

func TestParseAppliesDefaults(t *testing.T) {
	config := parseSmall(t)
	must.Eq(t, 5, config.Version)
	must.Eq(t, defaultRetries, config.Routes[0].Retries)
	must.Eq(t, 4, config.Routes[1].Retries)
	must.Eq(t, 600.5, config.Routes[1].TimeoutMs)
	must.Eq(t, float64(defaultRetentionS), config.Routes[0].RetentionS)
	must.Eq(t, "10.0.0.1:80", *config.Services[0].StaticEndpoint)
	must.Nil(t, config.Services[1].StaticEndpoint)
	must.Eq(t, 1000, config.Limits.MaxBodyBytes)
}

func TestMarshalReturnsTheOriginalBytes(t *testing.T) {
	data, err := parseSmall(t).Marshal()
	must.NoError(t, err)
	must.Eq(t, small, string(data))
}

func TestParseReportsTheFault(t *testing.T) {
	cases := []struct{ name, old, new, item, key string }{
		{"cut off", `"more":{}}`, `"more":{`, "configuration", ""},
		{"more behind", `"more":{}}`, `"more":{}} {}`, "configuration", ""},
		{"wrong type", `"version":5`, `"version":"5"`, "configuration", ""},
		{"not an object", small, `[]`, "configuration", ""},
		{"null", small, `null`, "configuration", "version"},
		{"no version", `"version":5,`, ``, "configuration", "version"},
		{"no routes", small, `{"version":1,"services":[]}`, "configuration", "routes"},
		{"no services", small, `{"version":1,"routes":[]}`, "configuration", "services"},
		{"unknown service", `"service":"s2"`, `"service":"s3"`, `route "r2"`, "service"},
		{"same prefix", `"/a/b/"`, `"/a/"`, `route "r2"`, "pathPrefix"},
		{"same route name", `"name":"r2"`, `"name":"r1"`, `route "r1"`, "name"},
		{"same service name", `{"name":"s2","staticEndpoint":null}`, `{"name":"s2"},{"name":"s2"}`, `service "s2"`, "name"},
		{"no route name", `"name":"r2",`, ``, `route 1`, "name"},
		{"timeout 0", `"timeoutMs":600,`, `"timeoutMs":0,`, `route "r1"`, "timeoutMs"},
		{"timeout below 0", `"timeoutMs":600,`, `"timeoutMs":-1,`, `route "r1"`, "timeoutMs"},
		{"no timeout", `"timeoutMs":600,`, ``, `route "r1"`, "timeoutMs"},
		{"rate below 0", `"ratePerS":39.0`, `"ratePerS":-1`, `service "s1"`, "ratePerS"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			data := strings.Replace(small, test.old, test.new, 1)
			must.NotEq(t, small, data)
			_, err := Parse([]byte(data))
			var invalid *ValidationError
			must.True(t, errors.As(err, &invalid))
			must.Eq(t, test.item, invalid.Faults[0].Item)
			must.Eq(t, test.key, invalid.Faults[0].Key)
		})
	}
}

func TestParseListsEveryFault(t *testing.T) {
	_, err := Parse([]byte(`{"version":0,"routes":[{"name":"r","timeoutMs":0,"service":"x"}],"services":[]}`))
	var invalid *ValidationError
	must.True(t, errors.As(err, &invalid))
	must.SliceLen(t, 3, invalid.Faults)
	must.StrContains(t, err.Error(), `route "r": service: "x" is unknown`)
}

func TestApplyUpdateChangesNamedItemsOnly(t *testing.T) {
	config, err := ApplyUpdate(parseSmall(t), []byte(`{"version":9,
	 "upsert":{"routes":[{"name":"r2","hostname":"h","pathPrefix":"/n/","timeoutMs":1,"service":"s3"}],"services":[{"name":"s3"}]},
	 "remove":{"routes":["unknown"],"services":["s2","unknown"]}}`))
	must.NoError(t, err)
	must.Eq(t, 9, config.Version)
	must.Eq(t, "/n/", config.Routes[1].PathPrefix)
	must.Eq(t, []string{"s1", "s3"}, []string{config.Services[0].Name, config.Services[1].Name})
	must.Eq(t, 1000, config.Limits.MaxBodyBytes)
	data, err := config.Marshal()
	must.NoError(t, err)
	must.StrContains(t, string(data), `"extra":[1]`)
}

func TestApplyUpdateChangesLimits(t *testing.T) {
	config, err := ApplyUpdate(parseSmall(t), []byte(`{"version":6,"upsert":{"limits":{"maxBodyBytes":7}}}`))
	must.NoError(t, err)
	must.Eq(t, 7, config.Limits.MaxBodyBytes)
	must.SliceLen(t, 2, config.Routes)
}

func TestApplyUpdateValidatesTheResult(t *testing.T) {
	for _, patch := range []string{
		`{"version":6,"remove":{"services":["s1"]}}`,
		`{"version":5}`,
		`{"version":4}`,
		`{}`,
		`{"version":6`,
		`{"version":6,"upsert":{"routes":["r"]}}`,
		`{"version":6,"upsert":{"routes":[{"name":"r1","timeoutMs":5,"service":"none"}]}}`,
		`{"version":6,"upsert":{"services":[{"name":"s9"},{"name":"s9"}]}}`,
	} {
		base := parseSmall(t)
		_, err := ApplyUpdate(base, []byte(patch))
		var invalid *ValidationError
		must.True(t, errors.As(err, &invalid), must.Sprint(patch))
		must.Eq(t, parseSmall(t), base)
	}
}

func TestApplyUpdateToEmptyConfiguration(t *testing.T) {
	config, err := ApplyUpdate(nil, []byte(`{"version":1,"upsert":{"services":[{"name":"s"}]}}`))
	must.NoError(t, err)
	must.SliceLen(t, 1, config.Services)
}

func TestMatchSelectsHostAndLongestPrefix(t *testing.T) {
	table := NewTable(parseSmall(t))
	cases := []struct{ host, path, route string }{
		{"one.example", "/a/x", "r1"},
		{"ONE.example:8080", "/a/b/x", "r2"},
		{"one.example", "/a/b", "r1"},
		{"one.example", "/a/", "r1"},
		{"one.example", "/a", ""},
		{"one.example", "", ""},
		{"two.example", "/a/x", ""},
		{"xone.example", "/a/x", ""},
		{"", "/a/x", ""},
	}
	for _, test := range cases {
		route, service, ok := table.Match(test.host, test.path)
		must.Eq(t, test.route != "", ok)
		if ok {
			must.Eq(t, test.route, route.Name)
			must.Eq(t, route.Service, service.Name)
		}
	}
}

// drawConfig draws a valid configuration with few names, hosts and prefixes, so that routes overlap.
func drawConfig(t *rapid.T, version uint64) *Config {
	config := &Config{Version: version, Routes: []Route{}, Services: []Service{{Name: "s0"}, {Name: "s1"}}}
	taken := map[string]bool{}
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		route := Route{
			Name:       fmt.Sprint("r", i),
			Hostname:   rapid.SampledFrom([]string{"a", "B.example", "c"}).Draw(t, "host"),
			PathPrefix: "/" + rapid.StringOfN(rapid.SampledFrom([]rune("xy/")), 0, 4, -1).Draw(t, "prefix"),
			Type:       "async",
			TimeoutMs:  rapid.Float64Range(1, 9).Draw(t, "timeout"),
			Service:    rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service"),
		}
		if key := route.Hostname + route.PathPrefix; !taken[key] {
			taken[key] = true
			config.Routes = append(config.Routes, route)
		}
	}
	return config
}

// reparse returns the configuration as parsed from its JSON.
func reparse(t *rapid.T, config *Config) *Config {
	data, err := json.Marshal(config)
	must.NoError(t, err)
	parsed, err := Parse(data)
	must.NoError(t, err)
	return parsed
}

func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := reparse(t, drawConfig(t, 1))
		table := NewTable(config)
		host := rapid.SampledFrom([]string{"a", "b.example:80", "C", "d"}).Draw(t, "host")
		path := "/" + rapid.StringOfN(rapid.SampledFrom([]rune("xy/")), 0, 6, -1).Draw(t, "path")
		var want *Route
		for i := range config.Routes {
			route := &config.Routes[i]
			sameHost := strings.EqualFold(route.Hostname, strings.TrimSuffix(host, ":80"))
			if sameHost && strings.HasPrefix(path, route.PathPrefix) && (want == nil || len(route.PathPrefix) > len(want.PathPrefix)) {
				want = route
			}
		}
		got, _, ok := table.Match(host, path)
		must.Eq(t, want != nil, ok)
		must.Eq(t, want, got)
	})
}

func TestApplyUpdateTransformsOneConfigurationIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := reparse(t, drawConfig(t, 1)), reparse(t, drawConfig(t, 2))
		change := patch{Version: 2}
		for i := range from.Routes {
			change.Remove.Routes = append(change.Remove.Routes, from.Routes[i].Name)
		}
		for i := range to.Routes {
			item, err := json.Marshal(to.Routes[i])
			must.NoError(t, err)
			change.Upsert.Routes = append(change.Upsert.Routes, item)
		}
		data, err := json.Marshal(change)
		must.NoError(t, err)
		got, err := ApplyUpdate(from, data)
		must.NoError(t, err)
		must.Eq(t, to.Routes, got.Routes)
		must.Eq(t, to.Services, got.Services)
	})
}

func BenchmarkParse(b *testing.B) {
	config := &Config{Version: 1, Services: []Service{{Name: "s"}}}
	for i := range 2000 {
		config.Routes = append(config.Routes, Route{Name: fmt.Sprint("r-", i), Hostname: fmt.Sprint("h", i%50, ".example"),
			PathPrefix: fmt.Sprint("/p", i, "/"), Type: "async", TimeoutMs: 600, Service: "s", Retries: 6})
	}
	data, err := json.Marshal(config)
	must.NoError(b, err)
	for b.Loop() {
		parsed, err := Parse(data)
		must.NoError(b, err)
		NewTable(parsed)
	}
}
