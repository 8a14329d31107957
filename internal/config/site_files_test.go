package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
)

// section is a section of a site file: its name, and its keys with their unparsed values.
type section struct {
	name string
	keys map[string]string
}

// parseSections parses the TOML subset of site files: sections, and one "key = value" per line. Anything else is an error.
func parseSections(text string) (all []section, err error) {
	all = []section{{keys: map[string]string{}}}
	for no, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		key, value, pair := strings.Cut(line, " = ")
		switch {
		case line == "":
		case strings.HasPrefix(line, "[") && !pair:
			all = append(all, section{strings.Trim(line, "[]"), map[string]string{}})
		case pair && value != "":
			all[len(all)-1].keys[key] = value
		default:
			return nil, fmt.Errorf("line %d: %q", no+1, line)
		}
	}
	return all, nil
}

func sectionsNamed(all []section, name string) (found []section) {
	for _, s := range all {
		if s.name == name {
			found = append(found, s)
		}
	}
	return found
}

// TestSiteFiles checks the site files of the acceptance load: each has the format of site files, the files that it names exist beside it, and
// the settings of such a deployment's dispatchers are parsed with every class as written. No two sites share a class name, the number of
// classes, the discovery mode or the setting of second copies.
func TestSiteFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d site files, %v", len(files), err)
	}
	effects := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
	owner, counts, modes, copies := map[string]string{}, map[int]bool{}, map[string]bool{}, map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all, err := parseSections(string(text))
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		dir := filepath.Dir(file)
		if name := strings.Trim(all[0].keys["name"], `"`); name != filepath.Base(dir) {
			t.Errorf("%s: name is %q", file, name)
		}
		for _, beside := range []string{strings.Trim(all[0].keys["wire"], `"`), "real.json"} {
			if raw, err := os.ReadFile(filepath.Join(dir, beside)); err != nil || !json.Valid(raw) {
				t.Errorf("%s: %s is missing or not JSON: %v", file, beside, err)
			}
		}
		unlock, err := os.ReadFile(filepath.Join(dir, "unlock.txt"))
		if err != nil {
			t.Error(err)
		}
		for _, trouble := range sectionsNamed(all, "trouble") {
			if kind := strings.Trim(trouble.keys["name"], `"`); !strings.Contains(string(unlock), kind) {
				t.Errorf("%s: trouble %q is not unlocked", file, kind)
			}
		}
		classes, fam := sectionsNamed(all, "class"), sectionsNamed(all, "fam.class")
		if len(classes) != len(fam) || counts[len(classes)] {
			t.Errorf("%s: %d classes, %d fam.class sections; same number of classes as another site: %v", file, len(classes), len(fam), counts[len(classes)])
		}
		counts[len(classes)] = true
		mode, allow := sectionsNamed(all, "discovery")[0].keys["mode"], sectionsNamed(all, "allow")[0].keys
		if modes[mode] || copies[allow["second_copies"]] {
			t.Errorf("%s: discovery mode %s or second_copies %s is the same as another site's", file, mode, allow["second_copies"])
		}
		modes[mode], copies[allow["second_copies"]] = true, true
		type object map[string]any
		var list []object
		for _, c := range classes {
			one := object{"worth": json.RawMessage(c.keys["worth"]), "late_worth": json.RawMessage(c.keys["late_worth"]), "name": json.RawMessage(c.keys["name"]),
				"effect": effects[strings.Trim(c.keys["effect"], `"`)], "deadline_s": json.RawMessage(c.keys["deadline_ms"]), "aim_s": json.RawMessage(c.keys["aim_ms"])}
			if group := c.keys["group"]; group != "" {
				one["group"], one["dedup_window_s"] = json.RawMessage(group), json.RawMessage(c.keys["window_ms"])
			}
			if was := owner[c.keys["name"]]; was != "" {
				t.Errorf("%s: class %s is also in %s", file, c.keys["name"], was)
			}
			owner[c.keys["name"]] = file
			list = append(list, one)
		}
		registry := map[string]string{`"ask"`: "on_request", `"push"`: "pushed"}[mode]
		conf, err := json.Marshal(object{"balancers": 3, "registry_mode": registry, "classes": list, "zones": json.RawMessage(sectionsNamed(all, "net")[0].keys["zones"]),
			"allowed": object{"max_attempts": json.RawMessage(allow["max_attempts"]), "second_copies": json.RawMessage(allow["second_copies"])}})
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		s, err := ParseSettings(conf)
		if err != nil || len(s.Classes) != len(classes) || s.ListOnRequest != (mode == `"ask"`) || fmt.Sprint(s.SecondCopies) != allow["second_copies"] {
			t.Errorf("%s: parsed as %+v, %v", file, s, err)
		}
		for i, c := range s.Classes {
			if keyed := classes[i].keys["group"] != ""; keyed != (c.Effect == choice.Deduplicated) || keyed != (c.Window > 0) || c.Deadline <= c.Aim {
				t.Errorf("%s: class %d is parsed as %+v", file, i, c)
			}
		}
	}
}
