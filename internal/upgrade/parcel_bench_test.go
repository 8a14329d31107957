package upgrade

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/snapshot"
)

type benchConn struct {
	File     int
	Conn     hold.ConnState
	Phase    uint8
	Exchange uint64
}

// BenchmarkParcelOf2000 decodes a parcel of 2,000 connections, puts each behind a gate, and starts a goroutine for each.
func BenchmarkParcelOf2000(b *testing.B) {
	var st struct{ Conns []benchConn }
	for i := range 2000 {
		st.Conns = append(st.Conns, benchConn{File: -i, Conn: hold.ConnState{ReadIn: 70}, Phase: 2, Exchange: uint64(i)})
	}
	raw, err := snapshot.Marshal(st)
	if err != nil {
		b.Fatal(err)
	}
	text, err := snapshot.Marshal(Parcel{Parts: map[string]cbor.RawMessage{"callers": raw}})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			m, err := decode(kindParcel, text)
			if err != nil {
				b.Fatal(err)
			}
			var out struct{ Conns []benchConn }
			if err := snapshot.Unmarshal(m.(Parcel).Parts["callers"], &out); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("wrap", func(b *testing.B) {
		conn, peer := net.Pipe()
		defer peer.Close()
		for b.Loop() {
			g := hold.NewGate()
			g.Hold(time.Second, nil)
			for range st.Conns {
				g.Wrap(conn)
			}
		}
	})
	b.Run("goroutines", func(b *testing.B) {
		for b.Loop() {
			g := hold.NewGate()
			g.Hold(time.Second, nil)
			for range st.Conns {
				g.Go(func() {})
			}
			g.Release()
		}
	})
}
