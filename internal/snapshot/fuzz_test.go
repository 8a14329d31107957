package snapshot

import (
	"errors"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
)

// FuzzDecode checks that any input gives either one of the package's errors or a reducer that can be stepped. The body
// is also tried with a new header, since otherwise no mutation would pass the checksum.
func FuzzDecode(f *testing.F) {
	good := encode(f, newBusyReducer(f))
	f.Add(good, false)
	f.Add(good[headerSize:], true)
	f.Add([]byte{0xa0}, true)
	f.Add([]byte{0xa1, 0x68, 'R', 'e', 'q', 'u', 'e', 's', 't', 's', 0x9b, 255, 255, 255, 255, 255, 255, 255, 255}, true)
	f.Fuzz(func(t *testing.T, text []byte, seal bool) {
		if seal {
			text = Seal(text)
		}
		st, err := Decode(text)
		if err != nil {
			for _, named := range []error{ErrTruncated, ErrMagic, ErrSchema, ErrTooLarge, ErrChecksum, ErrFormat} {
				if errors.Is(err, named) {
					return
				}
			}
			t.Fatalf("unexpected error: %v", err)
		}
		r, err := core.Import(settings(), st)
		if err != nil {
			if !errors.Is(err, core.ErrState) && !errors.Is(err, choice.ErrState) {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
		r.Resume()
		for i, ev := range []core.Event{core.Tick{}, core.CallArrived{Call: core.Call{Exchange: 1 << 60, ID: "fresh", Class: "safe", Remaining: 1}},
			core.RouteSetTold{Source: st.Source, RouteSet: core.RouteSet{Full: true, Workers: []core.Worker{{ID: "z", Addr: "z:1", Kind: "k"}}}},
			core.Stopping{}} {
			r.Step(st.Now+float64(i), ev)
		}
	})
}
