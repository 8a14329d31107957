package config

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

func mustParse(t testing.TB, settings string) Config {
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

// TestSharedSettings checks that WithShared keeps a dispatcher's own keys and replaces all others, and that equal contents have the same encoding
// whatever the order of their keys.
func TestSharedSettings(t *testing.T) {
	mine := mustParse(t, `{"me":3,"zone":"north","balancers":5,`+classA+`}`)
	theirs := mustParse(t, `{ "zone":"south", `+classB+`, "me":1, "balancers": 6, "new_key": [1.50, "x"] }`)
	got, err := mine.WithShared(theirs.SharedSettings())
	if err != nil {
		t.Fatal(err)
	}
	if s := got.Settings; s.Self != 3 || s.Zone != "north" || s.Dispatchers != 6 || s.Seed != 7 || s.Classes[0].Name != "b" || s.DialTimeout != defaultDialTimeoutS {
		t.Errorf("%+v", s)
	}
	if got.Listen != mine.Listen || got.Discovery != mine.Discovery {
		t.Errorf("addresses changed: %+v", got)
	}
	if text := theirs.SharedSettings(); !bytes.Equal(got.SharedSettings(), text) || !strings.Contains(string(text), `"new_key":[1.50,"x"]`) || strings.Contains(string(text), "south") {
		t.Errorf("shared again as %s, received %s", got.SharedSettings(), text)
	}
	if other := mustParse(t, `{"balancers":5,"zone":"w",`+classA+`}`); !bytes.Equal(other.SharedSettings(), mine.SharedSettings()) {
		t.Errorf("encoded as %s, want %s", other.SharedSettings(), mine.SharedSettings())
	}
}

// TestInvalidSharedSettingsAreRejected checks that settings from a peer are rejected if they would be invalid in a file, and that nothing of them is applied.
func TestInvalidSharedSettingsAreRejected(t *testing.T) {
	mine := mustParse(t, `{"me":3,"zone":"north",`+classA+`}`)
	for name, text := range map[string]string{
		"empty": "", "not an object": "7", "null": "null", "truncated": `{"balancers":1,`, "two objects": "{" + classB + "}{}", "no classes": `{"balancers":1}`,
		"string for a number": `{"balancers":"x",` + classB + `}`, "unknown value": `{"registry_mode":"x",` + classB + `}`,
		"too long": `{` + classB + `,"x":"` + strings.Repeat("x", core.MaxSharedBytes) + `"}`,
	} {
		got, err := mine.WithShared([]byte(text))
		if !errors.Is(err, ErrSharedSettings) || !reflect.DeepEqual(got.Settings, mine.Settings) {
			t.Errorf("%s: %v, %+v", name, err, got.Settings.Classes)
		}
	}
}

// FuzzShared checks that settings from a peer are rejected, or accepted such that sharing them again gives equal settings.
func FuzzShared(f *testing.F) {
	f.Add([]byte(`{"balancers":2,` + classB + `}`))
	f.Add([]byte(`{"me":9,"zone":"x","customers":[{"name":"t","share":0.5}],` + classA + `}`))
	f.Add([]byte(`{"classes":[{"name":"a"},{"name":"a"}]}`))
	f.Add([]byte(`[`))
	mine := mustParse(f, `{"me":3,"zone":"north",`+classA+`}`)
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := mine.WithShared(text)
		if err != nil {
			return
		}
		if got.Settings.Self != 3 || got.Settings.Zone != "north" {
			t.Fatalf("own keys were overwritten: %+v", got.Settings)
		}
		again, err := mine.WithShared(got.SharedSettings())
		if err != nil || !reflect.DeepEqual(again.Settings, got.Settings) {
			t.Fatalf("shared again: %v, %+v", err, again.Settings)
		}
	})
}
