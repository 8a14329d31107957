package routeset

import (
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

func TestParse(t *testing.T) {
	entry := func(s string) string {
		return `{"version":7,"servers":[{"id":"s","addr":"10.0.0.1:1","state":"active"` + s + `}]}`
	}
	worker := core.Worker{ID: "s", Addr: "10.0.0.1:1", Weight: 1}
	started := worker
	started.Zone, started.Kind, started.Cell, started.Weight, started.Started = "a", "m", 3, 0.5, 1.25
	for _, tc := range []struct {
		text string
		want core.RouteSet
		err  string
	}{
		{text: `{"version":41,"full":true,"servers":[]}`, want: core.RouteSet{Version: 41, Full: true}},
		{text: entry(`,"other":{}`), want: core.RouteSet{Version: 7, Workers: []core.Worker{worker}}},
		{text: entry(`,"zone":"a","kind":"m","cell":3,"weight":0.5,"started_ms":1250`),
			want: core.RouteSet{Version: 7, Workers: []core.Worker{started}}},
		{text: `{"version":8,"servers":[{"id":"s","state":"left"}]}`,
			want: core.RouteSet{Version: 8, Workers: []core.Worker{{ID: "s", State: core.WorkerLeft, Weight: 1}}}},
		{text: `{"version":8,"servers":[{"id":"s","addr":"x:1","state":"leaving"}]}`,
			want: core.RouteSet{Version: 8, Workers: []core.Worker{{ID: "s", Addr: "x:1", State: core.WorkerLeaving, Weight: 1}}}},
		{text: `{"servers":[]}`, err: "version"},
		{text: `{"version":"x"}`, err: "servers"},
		{text: `nothing`, err: "not a list"},
		{text: ``, err: "not a list"},
		{text: entry(`,"id":""`), err: "servers[0].id"},
		{text: entry(`,"state":"odd"`), err: "servers[0].state"},
		{text: entry(`,"addr":"nowhere"`), err: "servers[0].addr"},
		{text: entry(`,"weight":-1`), err: "servers[0].weight"},
		{text: entry(`,"started_ms":-1`), err: "servers[0].started_ms"},
		{text: entry(`},{"id":"s","addr":"x:1","state":"active"`), err: "servers[1].id"},
	} {
		got, err := Parse([]byte(tc.text))
		if tc.err != "" {
			if err == nil || !strings.Contains(err.Error(), tc.err) {
				t.Errorf("%s: error %v does not name %q", tc.text, err, tc.err)
			}
		} else if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: read as %+v, %v", tc.text, got, err)
		}
	}
}
