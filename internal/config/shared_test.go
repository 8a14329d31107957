package config

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

func parsed(t testing.TB, settings string) Config {
	t.Helper()
	c, err := Parse([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7","settings":`+settings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const (
	classA = `"classes":[{"name":"a","deadline_s":1}]`
	classB = `"classes":[{"name":"b","deadline_s":2}]`
)

// TestSharedPart: what is a dispatcher's own stays, everything else comes, and the same contents have one text whatever their order.
func TestSharedPart(t *testing.T) {
	mine := parsed(t, `{"me":3,"zone":"north","balancers":5,`+classA+`}`)
	theirs := parsed(t, `{ "zone":"south", `+classB+`, "me":1, "balancers": 6, "new_key": [1.50, "x"] }`)
	got, err := mine.WithShared(theirs.SharedSettings())
	if err != nil {
		t.Fatal(err)
	}
	if s := got.Settings; s.Self != 3 || s.Zone != "north" || s.Dispatchers != 6 || s.Seed != 7 || s.Classes[0].Name != "b" || s.DialTimeout != defaultDialTimeout {
		t.Errorf("%+v", s)
	}
	if got.Listen != mine.Listen || got.Discovery != mine.Discovery {
		t.Errorf("addresses of the process changed: %+v", got)
	}
	if text := theirs.SharedSettings(); !bytes.Equal(got.SharedSettings(), text) || !strings.Contains(string(text), `"new_key":[1.50,"x"]`) || strings.Contains(string(text), "south") {
		t.Errorf("passed on: %s, told: %s", got.SharedSettings(), text)
	}
	if other := parsed(t, `{"balancers":5,"zone":"w",`+classA+`}`); !bytes.Equal(other.SharedSettings(), mine.SharedSettings()) {
		t.Errorf("%s is not %s", other.SharedSettings(), mine.SharedSettings())
	}
}

// TestSharedPartIsRefusedWhole: what could not be in a file is not taken from a peer.
func TestSharedPartIsRefusedWhole(t *testing.T) {
	mine := parsed(t, `{"me":3,"zone":"north",`+classA+`}`)
	for name, text := range map[string]string{
		"empty": "", "no object": "7", "null": "null", "cut": `{"balancers":1,`, "two": "{" + classB + "}{}", "no class": `{"balancers":1}`,
		"a word for a number": `{"balancers":"x",` + classB + `}`, "an unknown word": `{"registry_mode":"x",` + classB + `}`,
		"too long": `{` + classB + `,"x":"` + strings.Repeat("x", core.MaxSharedBytes) + `"}`,
	} {
		got, err := mine.WithShared([]byte(text))
		if !errors.Is(err, ErrSharedSettings) || !reflect.DeepEqual(got.Settings, mine.Settings) {
			t.Errorf("%s: %v, %+v", name, err, got.Settings.Classes)
		}
	}
}

// FuzzShared: whatever a peer says is refused, or makes settings that can be said again and mean the same.
func FuzzShared(f *testing.F) {
	f.Add([]byte(`{"balancers":2,` + classB + `}`))
	f.Add([]byte(`{"me":9,"zone":"x","customers":[{"name":"t","share":0.5}],` + classA + `}`))
	f.Add([]byte(`{"classes":[{"name":"a"},{"name":"a"}]}`))
	f.Add([]byte(`[`))
	mine := parsed(f, `{"me":3,"zone":"north",`+classA+`}`)
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := mine.WithShared(text)
		if err != nil {
			return
		}
		if got.Settings.Self != 3 || got.Settings.Zone != "north" {
			t.Fatalf("a peer's word on what is its own: %+v", got.Settings)
		}
		again, err := mine.WithShared(got.SharedSettings())
		if err != nil || !reflect.DeepEqual(again.Settings, got.Settings) {
			t.Fatalf("said again: %v, %+v", err, again.Settings)
		}
	})
}
