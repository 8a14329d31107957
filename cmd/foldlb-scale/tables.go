package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// tables collects the Markdown of all records.
type tables struct {
	text strings.Builder
}

// heading begins a table with a line on the run that gave it.
func (t *tables) heading(r *record, title string, columns ...string) {
	fmt.Fprintf(&t.text, "### %s\n\n", title)
	fmt.Fprintf(&t.text, "Measured %s at commit %s in %.0f s, on %d processors with a load of %s at the start: `foldlb-scale run --part %s`.\n\n",
		r.Date, r.Commit, r.TookS, r.Cores, r.LoadAt, r.Part)
	fmt.Fprintf(&t.text, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)))
}

func (t *tables) row(cells ...any) {
	for _, cell := range cells {
		if number, isFloat := cell.(float64); isFloat {
			fmt.Fprintf(&t.text, "| %s ", figure(number))
			continue
		}
		fmt.Fprintf(&t.text, "| %v ", cell)
	}
	t.text.WriteString("|\n")
}

// figure prints a number with as many digits as tell something.
func figure(value float64) string {
	switch {
	case value >= 1000 || value <= -1000:
		return fmt.Sprintf("%.0f", value)
	case value >= 10 || value <= -10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

func (t *tables) end() { t.text.WriteString("\n") }

// times prints a spread as three cells; dashes where there is none.
func times(s *spread) []any {
	if s == nil || s.Arrivals == 0 {
		return []any{"-", "-", "-", "-"}
	}
	return []any{s.MedianMs, s.P99Ms, s.WorstMs, s.Missing}
}

func (t *tables) dispatchers(r *record, title string) {
	t.heading(r, title, "dispatchers", "relays", "follow", "leader: core %", "leader: MB", "leader: kB/s out", "leader: core ms a change",
		"relay: core %", "hollow: core %", "hollow: MB", "hollow: B/s at rest", "hollow: B a change", "in force: median ms", "99th", "worst", "missing")
	for _, p := range r.Points {
		leader, hollow := p.Steady[roleLeader], p.Steady[roleHollow]
		cells := []any{p.Dispatchers, p.Relays, p.Following, leader.CorePercent, leader.MemoryMb, leader.WriteBytesS / 1000, cpuMsPerChange(p, roleLeader),
			p.Steady[roleRelay].CorePercent, hollow.CorePercent, hollow.MemoryMb, hollow.ReadBytesS + hollow.WriteBytesS, bytesPerChange(p)}
		t.row(append(cells, times(p.ConfigInForce)...)...)
	}
	t.end()
}

func (t *tables) routes(r *record) {
	t.heading(r, "Routes of the configuration", "routes", "bytes of it", "bytes a change to a dispatcher",
		"B/s at 7,700 changes a day (computed)", "leader: core ms a change", "dispatcher: core ms a change", "dispatcher: MB", "in force: median ms", "99th", "worst", "missing")
	for _, p := range r.Points {
		cells := []any{p.Routes, p.ConfigBytes, bytesPerChange(p), plannedBytesPerS(p), cpuMsPerChange(p, roleLeader),
			cpuMsPerChange(p, roleHollow), p.Changing[roleDispatcher].MemoryMb}
		t.row(append(cells, times(p.ConfigInForce)...)...)
	}
	t.end()
}

func (t *tables) destinations(r *record) {
	t.heading(r, "Destinations on the platform's list", "destinations", "calls/s of the list", "leader: core % at rest", "leader: MB", "hollow: MB", "real dispatcher: MB", "store: MB",
		"bytes of the lists of one turn to a dispatcher", "dispatcher: core ms a turn", "in force: median ms", "99th", "worst", "missing")
	for _, p := range r.Points {
		hollow := p.Changing[roleHollow]
		cells := []any{p.Destinations, p.ListCallsPerS, p.Steady[roleLeader].CorePercent, p.Changing[roleLeader].MemoryMb, hollow.MemoryMb,
			p.Changing[roleDispatcher].MemoryMb, p.Changing[roleStore].MemoryMb, bytesPerChange(p), cpuMsPerChange(p, roleHollow)}
		t.row(append(cells, times(p.ListInForce)...)...)
	}
	t.end()
}

func (t *tables) faults(r *record) {
	t.heading(r, "Failures", "failure", "dispatchers", "killed", "what", "value (ms, or a count)")
	for _, struck := range r.Faults {
		names := make([]string, 0, len(struck.TimesMs))
		for name := range struck.TimesMs {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			t.row(struck.Kind, struck.Dispatchers, struck.Killed, name, struck.TimesMs[name])
		}
		if struck.After != nil {
			t.row(struck.Kind, struck.Dispatchers, struck.Killed, "a change afterwards: worst at the others", struck.After.WorstMs)
			t.row(struck.Kind, struck.Dispatchers, struck.Killed, "a change afterwards: others that it did not reach, count", struck.After.Missing)
		}
	}
	t.end()
}

func (t *tables) traffic(r *record) {
	t.heading(r, "Messages taken, copied and delivered", "messages/s", "body bytes", "dispatchers", "stores", "accepted", "sent", "run at the worker", "202: median ms", "99th", "worst",
		"dispatchers: core µs a message", "stores: core µs a message", "dispatcher: core %", "store: core %", "store: kB/s")
	for _, each := range r.Traffic {
		store := each.Used[roleStore]
		t.row(each.PerS, each.BodyBytes, each.Dispatchers, each.Stores, each.Accepted, each.Sent, each.Delivered, each.Acceptance.MedianMs, each.Acceptance.P99Ms, each.Acceptance.WorstMs,
			each.usPerMessage(roleDispatcher), each.usPerMessage(roleStore), each.Used[roleDispatcher].CorePercent, store.CorePercent,
			(store.ReadBytesS+store.WriteBytesS)/1000)
	}
	t.end()
}

func (t *tables) backlogs(r *record) {
	t.heading(r, "Backlog of one store", "messages", "body bytes", "heap B a message", "resident B a message", "disk B a message", "append µs",
		"replay µs", "start and finish µs", "gather list B", "gather list µs", "one visit µs")
	for _, b := range r.Backlogs {
		t.row(b.Messages, b.BodyBytes, b.HeapPerMessage, b.ResidentPerMsg, b.DiskPerMessage, b.AppendUsPerMsg, b.ReplayUsPerMsg, b.DrainUsPerMsg,
			b.ListBytesPerMsg, b.ListUsPerMsg, b.WalkUsPerMsg)
	}
	t.end()
}

// slopes prints the straight lines through the points, and what they give at the size of the plan.
func (t *tables) slopes(byDispatchers, byDestinations, byRoutes *record) {
	t.text.WriteString("### Slopes\n\nLines of least squares through the measured points where every dispatcher followed. The last column is extrapolated, not measured.\n\n")
	t.text.WriteString("| figure | constant | slope | for each | extrapolated to the plan |\n| --- | --- | --- | --- | --- |\n")
	if byDispatchers != nil {
		t.slope(byDispatchers.Points, whole, "leader: core % at rest", "dispatcher", planDispatchers, dispatchersOf, func(p point) float64 { return p.Steady[roleLeader].CorePercent })
		t.slope(byDispatchers.Points, whole, "leader: MB", "dispatcher", planDispatchers, dispatchersOf, func(p point) float64 { return p.Changing[roleLeader].MemoryMb })
		t.slope(byDispatchers.Points, whole, "leader: core ms a change", "dispatcher", planDispatchers, dispatchersOf, func(p point) float64 { return cpuMsPerChange(p, roleLeader) })
		t.slope(byDispatchers.Points, whole, "change in force, worst ms", "dispatcher", planDispatchers, dispatchersOf, func(p point) float64 { return p.ConfigInForce.WorstMs })
	}
	if byDestinations != nil {
		t.slope(byDestinations.Points, quickList, "hollow dispatcher: MB", "destination", planDestinations, destinationsOf, func(p point) float64 { return p.Changing[roleHollow].MemoryMb })
		t.slope(byDestinations.Points, quickList, "leader: MB", "destination", planDestinations, destinationsOf, func(p point) float64 { return p.Changing[roleLeader].MemoryMb })
		t.slope(byDestinations.Points, quickList, "bytes of the lists of one turn", "destination", planDestinations, destinationsOf, bytesPerChange)
		t.slope(byDestinations.Points, quickList, "dispatcher: core ms a turn", "destination", planDestinations, destinationsOf, func(p point) float64 { return cpuMsPerChange(p, roleHollow) })
	}
	if byRoutes != nil {
		t.slope(byRoutes.Points, whole, "bytes a change to a dispatcher", "route", 0, routesOf, bytesPerChange)
		t.slope(byRoutes.Points, whole, "dispatcher: core ms a change", "route", 0, routesOf, func(p point) float64 { return cpuMsPerChange(p, roleHollow) })
	}
	t.end()
}

func (t *tables) slope(points []point, keep func(point) bool, name, unit string, plan float64, x, y func(point) float64) {
	xs, ys := seriesOf(points, keep, x, y)
	through := fit(xs, ys)
	at := "-"
	if plan > 0 {
		at = fmt.Sprintf("%s at %.0f", figure(through.at(plan)), plan)
	}
	t.row(name, through.constant, through.slope, unit, at)
}

// save writes the tables beside the records.
func (t *tables) save(folder string) error {
	path := filepath.Join(folder, "tables.md")
	return errors.Wrap(os.WriteFile(path, []byte("<!-- written by foldlb-scale plot; change the records, not this page -->\n\n"+t.text.String()), filePermissions), "write the tables: check --out")
}
