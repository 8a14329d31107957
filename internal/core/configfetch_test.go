package core

import (
	"fmt"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

func configVersion(no int64, digest uint64) membership.Version {
	return membership.Version{No: no, Digest: digest, Source: "f"}
}

// outdatedMember returns a member with configuration 1 in force that receives the records of members with other versions.
func outdatedMember(t *testing.T, others ...membership.Version) *Reducer {
	t.Helper()
	r := fleetMember(t, "a", "b")
	r.Step(1, AuditBegun{Process: 1, Config: configVersion(1, 1), Shared: []byte("1"), BringUp: true})
	var records []membership.Record
	var reached []uint64
	for i, v := range others {
		records = append(records, membership.Record{Key: membership.Key{Name: fmt.Sprint("m", i), Addr: fmt.Sprintf("10.0.1.%d:1", i+1)}, Incarnation: 1, Process: uint64(100 + i),
			Seq: 1, State: membership.Serving, Generation: 1, Config: v})
		reached = append(reached, uint64(100+i))
	}
	r.Step(1, FleetTold{Records: records})
	r.Step(1, FleetLooked{Sight: membership.Reachability{Reached: reached}})
	return r
}

func fetches(effects []Effect) (all []FetchConfig) {
	for _, e := range effects {
		if f, is := e.(FetchConfig); is {
			all = append(all, f)
		}
	}
	return all
}

func configHeld(t *testing.T, effects []Effect) ConfigHeld {
	t.Helper()
	for _, e := range effects {
		if h, is := e.(ConfigHeld); is {
			return h
		}
	}
	t.Fatalf("no ConfigHeld: %v", effects)
	return ConfigHeld{}
}

// TestOutdatedMemberFetchesConfig: members that hold the highest version without a conflict are asked in turn, at a bounded
// rate.
func TestOutdatedMemberFetchesConfig(t *testing.T) {
	for name, c := range map[string]struct {
		others []membership.Version
		want   int64 // 0 if no member may be asked
	}{
		"newer":                {[]membership.Version{configVersion(2, 2), configVersion(2, 2), configVersion(1, 1)}, 2},
		"the highest":          {[]membership.Version{configVersion(2, 2), configVersion(3, 3)}, 3},
		"not a contested one":  {[]membership.Version{configVersion(2, 2), configVersion(3, 3), configVersion(3, 4)}, 2},
		"only a contested one": {[]membership.Version{configVersion(3, 3), configVersion(3, 4)}, 0},
		"older":                {[]membership.Version{configVersion(0, 9)}, 0},
		"another source":       {[]membership.Version{{No: 5, Digest: 5, Source: "g"}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := outdatedMember(t, c.others...)
			asked := map[uint64]int{}
			for i := range 8 {
				for _, f := range fetches(r.Step(5+float64(i)*configFetchIntervalS/2, FleetLooked{Sight: membership.Reachability{Reached: []uint64{100, 101, 102}}})) {
					if f.Config.No != c.want {
						t.Errorf("requests version %[2]d from %[1]s, want %[3]d", f.Member, f.Config.No, c.want)
					}
					asked[f.Process]++
				}
			}
			sum := 0
			for _, n := range asked {
				sum += n
			}
			if c.want == 0 && sum > 0 || c.want > 0 && sum != 4 {
				t.Errorf("%d requests in 4 s: %v", sum, asked)
			}
			if name == "newer" && (asked[100] != 2 || asked[101] != 2) {
				t.Errorf("not in turn: %v", asked)
			}
		})
	}
}

// TestConfigurationIsAppliedCompletelyOrNotAtAll: a refused configuration changes nothing, and an accepted one applies to the
// next request.
func TestConfigurationIsAppliedCompletelyOrNotAtAll(t *testing.T) {
	r := outdatedMember(t, configVersion(5, 5))
	under := func(classes ...string) *choice.Settings {
		s := r.settings
		s.Classes = nil
		for _, name := range classes {
			c := r.settings.Classes[0]
			c.Name = name
			s.Classes = append(s.Classes, c)
		}
		return &s
	}
	r.Step(2, CallArrived{Call: Call{Exchange: 1, ID: "open", Class: "c", Remaining: 1, Slots: 1}})
	for name, ev := range map[string]AuditConfigured{
		"older":                    {Config: configVersion(0, 7), Settings: under("c", "d"), By: "m0"},
		"other contents":           {Config: configVersion(1, 7), Settings: under("c", "d")},
		"two contents":             {Config: configVersion(5, 7), Settings: under("c", "d"), By: "m0"},
		"another source":           {Config: membership.Version{No: 9, Source: "g"}, Settings: under("c", "d"), By: "m0"},
		"class of an open request": {Config: configVersion(2, 2), Settings: under("d"), By: "m0"},
	} {
		if h := configHeld(t, r.Step(2, ev)); h.Fault == "" || h.Config != configVersion(1, 1) || string(h.Shared) != "1" || len(r.settings.Classes) != 1 {
			t.Errorf("%s: %+v", name, h)
		}
	}
	if h := configHeld(t, r.Step(2, AuditConfigured{Config: configVersion(5, 5), Settings: under("d", "c"), Shared: []byte("5"), By: "m0"})); h.Fault != "" || h.Config != configVersion(5, 5) || h.By != "m0" {
		t.Fatalf("%+v", h)
	}
	sent, answered := false, false
	for _, e := range append(r.Step(2.5, CallArrived{Call: Call{Exchange: 2, ID: "new", Class: "d", Remaining: 1, Slots: 1}}), r.Step(4, Tick{})...) {
		_, is := e.(SendBranch)
		sent = sent || is
		a, is := e.(Answer)
		answered = answered || is && a.Exchange == 1
	}
	if !sent || !answered {
		t.Errorf("request of the new class sent: %v; open request answered at its deadline: %v", sent, answered)
	}
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if text, v, known := st.Shared(); !known || string(text) != "5" || v != configVersion(5, 5) || !strings.Contains(st.Audit.By, "m0") {
		t.Errorf("exported: %q %v %v", text, v, known)
	}
}
