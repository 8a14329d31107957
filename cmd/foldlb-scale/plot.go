package main

import (
	"context"
	"image/color"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the form in which plots are saved
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	goalDash   = 4 // points
)

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:  "plot",
		Usage: "make tables and plots of the records",
		Flags: []cli.Flag{outFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			return plotAll(command.String("out"))
		},
	}
}

// plotAll writes the tables and plots of the records that exist.
func plotAll(folder string) error {
	records := map[string]*record{}
	for _, name := range partNames() {
		loaded, err := loadRecord(folder, name)
		if err != nil {
			return err
		}
		records[name] = loaded
	}
	if err := writeTables(folder, records); err != nil {
		return err
	}
	for _, each := range charts(records) {
		if each.isEmpty() {
			continue
		}
		if err := each.save(folder); err != nil {
			return err
		}
	}
	return nil
}

func writeTables(folder string, records map[string]*record) error {
	written := &tables{}
	written.slopes(records["dispatchers"], records["destinations"], records["routes"])
	if r := records["dispatchers"]; r != nil {
		written.dispatchers(r, "Dispatchers at one leader")
	}
	if r := records["relays"]; r != nil {
		written.dispatchers(r, "Dispatchers behind relays (a trial: no role of foldlb relays today)")
	}
	if r := records["destinations"]; r != nil {
		written.destinations(r)
	}
	if r := records["routes"]; r != nil {
		written.routes(r)
	}
	if r := records["faults"]; r != nil {
		written.faults(r)
	}
	if r := records["traffic"]; r != nil {
		written.traffic(r)
	}
	if r := records["backlog"]; r != nil {
		written.backlogs(r)
	}
	return written.save(folder)
}

// series is one line of a chart.
type series struct {
	name   string
	points plotter.XYs
}

// chart is one plot with its goal.
type chart struct {
	file, title, xLabel, yLabel string
	lines                       []series
	goal                        float64
	goalName                    string
	logarithmic                 bool // both axes
}

// charts lists the plots of the records that exist.
func charts(records map[string]*record) []chart {
	var all []chart
	if r := records["dispatchers"]; r != nil {
		all = append(all, leaderChart(r.Points, records["relays"]), inForceChart(r.Points, records["relays"]))
	}
	if r := records["destinations"]; r != nil {
		all = append(all, destinationChart(r.Points))
	}
	if r := records["routes"]; r != nil {
		all = append(all, bytesChart(r.Points))
	}
	if r := records["backlog"]; r != nil {
		all = append(all, backlogChart(r.Backlogs))
	}
	return all
}

// leaderGoal is the share of a core that the small sites give a control machine.
const leaderGoal = 72

func leaderChart(points []point, relays *record) chart {
	made := chart{file: "leader-core", title: "Leader at rest (over 1,017 are refused and ask again)", xLabel: "dispatchers", yLabel: "% of a core",
		goal: leaderGoal, goalName: "share of a control machine"}
	made.add("without relays", points, always, dispatchersOf, func(p point) float64 { return p.Steady[roleLeader].CorePercent })
	if relays != nil {
		made.add("behind relays (trial)", relays.Points, always, dispatchersOf, func(p point) float64 { return p.Steady[roleLeader].CorePercent })
	}
	return made
}

// inForceChart leaves out the points at which some dispatchers were refused a stream.
func inForceChart(points []point, relays *record) chart {
	made := chart{file: "in-force", title: "Time until a configuration is in force", xLabel: "dispatchers", yLabel: "ms",
		goal: planInForceMs, goalName: "goal: in force everywhere", logarithmic: true}
	made.add("median", points, whole, dispatchersOf, func(p point) float64 { return p.ConfigInForce.MedianMs })
	made.add("99th", points, whole, dispatchersOf, func(p point) float64 { return p.ConfigInForce.P99Ms })
	made.add("worst", points, whole, dispatchersOf, func(p point) float64 { return p.ConfigInForce.WorstMs })
	if relays != nil {
		made.add("worst, behind relays (trial)", relays.Points, whole, dispatchersOf, func(p point) float64 { return p.ConfigInForce.WorstMs })
	}
	return made
}

func destinationChart(points []point) chart {
	made := chart{file: "destinations-memory", title: "Memory by destinations on the list", xLabel: "destinations", yLabel: "resident MB",
		goal: planMemoryMb, goalName: "goal: dispatcher's control part", logarithmic: true}
	for _, role := range []string{roleLeader, roleStore, roleDispatcher, roleHollow} {
		made.add(role, points, quickList, destinationsOf, func(p point) float64 { return p.Changing[role].MemoryMb })
	}
	return made
}

func bytesChart(points []point) chart {
	made := chart{file: "routes-bytes", title: "Bytes of control at a dispatcher, 7,700 changes a day (computed)", xLabel: "routes", yLabel: "B/s",
		goal: planBytesPerS, goalName: "goal", logarithmic: true}
	made.add("whole configurations, as today", points, always, routesOf, plannedBytesPerS)
	return made
}

func backlogChart(backlogs []backlog) chart {
	made := chart{file: "backlog-memory", title: "One store: memory by queued messages", xLabel: "messages", yLabel: "resident MB",
		goal: 294, goalName: "memory of a store machine of the small sites", logarithmic: true}
	line := series{name: "table, bodies on disk"}
	for _, b := range backlogs {
		line.points = append(line.points, plotter.XY{X: float64(b.Messages), Y: b.ResidentPerMsg * float64(b.Messages) / megabyte})
	}
	made.lines = append(made.lines, line)
	return made
}

func (c *chart) add(name string, points []point, keep func(point) bool, x, y func(point) float64) {
	xs, ys := seriesOf(points, keep, x, y)
	line := series{name: name}
	for index := range xs {
		line.points = append(line.points, plotter.XY{X: xs[index], Y: ys[index]})
	}
	c.lines = append(c.lines, line)
}

// isEmpty reports whether there is a line without points.
func (c *chart) isEmpty() bool {
	return slices.ContainsFunc(c.lines, func(each series) bool { return len(each.points) == 0 })
}

// save writes the chart as SVG.
func (c *chart) save(folder string) error {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = c.title, c.xLabel, c.yLabel
	drawn.Legend.Top, drawn.Legend.Left = true, true
	if c.logarithmic {
		drawn.X.Scale, drawn.Y.Scale = plot.LogScale{}, plot.LogScale{}
		drawn.X.Tick.Marker, drawn.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	} else {
		drawn.X.Min, drawn.Y.Min = 0, 0
	}
	for index, each := range c.lines {
		if err := drawSeries(drawn, index, each); err != nil {
			return errors.Wrapf(err, "draw %s", c.file)
		}
	}
	if err := c.drawGoal(drawn); err != nil {
		return errors.Wrapf(err, "draw %s", c.file)
	}
	return errors.Wrap(drawn.Save(plotWidth, plotHeight, filepath.Join(folder, c.file+".svg")), "write a plot: check --out")
}

func drawSeries(drawn *plot.Plot, index int, each series) error {
	line, marks, err := plotter.NewLinePoints(each.points)
	if err != nil {
		return err
	}
	line.Color, marks.Color = plotutil.Color(index), plotutil.Color(index)
	marks.Shape = plotutil.Shape(index)
	drawn.Add(line, marks)
	drawn.Legend.Add(each.name, line, marks)
	return nil
}

// drawGoal draws the goal over the whole width of the points.
func (c *chart) drawGoal(drawn *plot.Plot) error {
	low, high := c.lines[0].points[0].X, c.lines[0].points[0].X
	for _, drawnLine := range c.lines {
		for _, each := range drawnLine.points {
			low, high = min(low, each.X), max(high, each.X)
		}
	}
	line, err := plotter.NewLine(plotter.XYs{{X: low, Y: c.goal}, {X: high, Y: c.goal}})
	if err != nil {
		return err
	}
	line.Color = color.RGBA{R: 200, A: 255}
	line.Dashes = []vg.Length{vg.Points(goalDash), vg.Points(goalDash)}
	drawn.Add(line)
	drawn.Legend.Add(c.goalName, line)
	return nil
}
