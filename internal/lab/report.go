package lab

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Write writes results.json and the charts into a folder.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "results.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return r.chart(filepath.Join(dir, "latency.png"))
}

// Table prints what a person wants to know.
func (r *Result) Table(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tseed %d\t%s\t%.0f s\n\n", r.Scenario, r.Seed, r.Machine, r.Seconds)
	fmt.Fprintln(w, "promise\tgot\tat most\t")
	for _, p := range r.Promises {
		word := "kept"
		if !p.OK {
			word = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%g\t%g\t%s\n", p.Name, p.Got, p.Most, word)
	}
	fmt.Fprintf(w, "\nanswers\tcount\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\n")
	for _, l := range []struct {
		name string
		Latency
	}{{"outside upgrades", r.Outside}, {"inside upgrades", r.Inside}, {"around changes of process", r.Around}} {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", l.name, l.Count, l.P50, l.P99, l.P999, l.Max)
	}
	fmt.Fprintf(w, "worth served\t%.4f of what was asked\n", r.Worth)
	if len(r.Upgrades) > 0 {
		fmt.Fprintf(w, "\nupgrade\tat s\ttook s\theld ms\trest+pack+send+take\topen\tdescriptors\tbytes\tpeak KB\tresult\n")
		for _, u := range r.Upgrades {
			fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.1f\t%v\t%d\t%d\t%d\t%d\t%s %s\n", u.Binary, u.At, u.Took, u.HeldMS, u.Parts, u.Open, u.Files, u.Bytes, u.PeakKB, u.Result, u.Detail)
		}
		fmt.Fprintf(w, "\nheld\tmedian %.1f ms\tworst %.1f ms\n", r.HeldMS.Median, r.HeldMS.Worst)
	}
	if len(r.Operations) > 0 {
		fmt.Fprintf(w, "\noperation\tat s\tready s\theld ms\tpeak KB\tof that own\tdescriptors\tresult\n")
		for _, o := range r.Operations {
			result := "as it should"
			if !o.OK {
				result = "NOT as it should: " + o.Detail
			}
			fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.1f\t%d\t%d\t%d\t%s\n", o.Kind, o.At, o.Ready, o.HeldMS, o.PeakKB, o.AnonKB, o.Files, result)
		}
	}
	if f := r.Fleet; f != nil {
		fmt.Fprintf(w, "\nwhat happened\tat s\tone view after s\tat most\t\n")
		for _, x := range f.Settlings {
			took := fmt.Sprintf("%.1f", x.Took)
			if x.Took < 0 {
				took = "next came first"
			}
			fmt.Fprintf(w, "%s\t%.1f\t%s\t%.0f\t%s\n", x.What, x.At, took, x.Most, x.Fault)
		}
		fmt.Fprintf(w, "%d members\t%d views looked at\t%d datagrams\t%d lost\t\n", f.Members, f.Views, f.Sent, f.Lost)
		if c := f.Cost; c.Seconds > 0 {
			fmt.Fprintf(w, "a member costs\t%.1f datagrams/s\t%.0f bytes/s\t%.1f ms/s\t%.0f KB, %.0f descriptors\n", c.Sent, c.Bytes, c.CPU, c.Resident, c.Files)
		}
		if a := f.Audit; a != nil {
			fmt.Fprintf(w, "records\t%d in %d bytes\t%d acts\t%d missing\tverified in %d ms\n", a.Records, a.Bytes, a.Acts, a.Missing, a.VerifyMS)
			fmt.Fprintf(w, "floors\t%d told\t%d not seen to be\t\t\n", a.Floors, a.Untold)
			if a.Stragglers > 0 {
				fmt.Fprintf(w, "stragglers\t%d brought up\t%.1f s behind in the middle\t%.1f s at the 99th part\t\n", a.Stragglers, a.LagP50, a.LagP99)
			}
			if a.Twofold > 0 {
				fmt.Fprintf(w, "two contents\t%d route sets named by all\t\t\t\n", a.Twofold)
			}
			if a.GapMS > 0 {
				fmt.Fprintf(w, "writes\t%.2f ms at the longest from the last look at the clock\t%d stopped there, at the member with the most\t\t\n", a.GapMS, a.Stopped)
			}
			fmt.Fprintf(w, "sends\t%d reached workers\t%d recorded, %d seen on their version\t%d not, of members that were killed\t\n", a.Reached, a.Sent, a.Matched, a.Killed)
		}
		for _, x := range f.Broken {
			fmt.Fprintf(w, "broken\t%s\n", x)
		}
	}
	if c := r.Cold; c != nil {
		fmt.Fprintf(w, "cold workers\t%d\t%.3f of what one bears at the most\t%.3f in the mean\t%d fell over\t\n", c.Workers, c.Most, c.Mean, c.Fell)
	}
	if len(r.windows) > 0 {
		fmt.Fprintf(w, "worth served\t%.3f in 5 s before\t%.3f in 5 s after a change of process\n", r.WorthPre, r.WorthAft)
	}
	if r.Starved > 0 {
		fmt.Fprintf(w, "machine\tkept the dispatcher from running for %.2f s\t%d refused meanwhile, not counted\t\n", r.Starved, r.RefusedStarved)
	}
	for _, x := range r.Account.Worst {
		fmt.Fprintf(w, "example\t%s\n", x)
	}
	w.Flush()
	if r.OK {
		fmt.Fprintln(out, "\nall promises kept")
	} else {
		fmt.Fprintln(out, "\nA PROMISE IS BROKEN")
	}
}

// chart draws each answer's time over the run, with the upgrades.
func (r *Result) chart(path string) error {
	p := plot.New()
	p.Title.Text = r.Title
	p.X.Label.Text, p.Y.Label.Text = "seconds of the run, when the request was due", "ms until its answer"
	points := make(plotter.XYs, 0, len(r.samples))
	top := 1.0
	step := max(1, len(r.samples)/20000)
	for i := 0; i < len(r.samples); i += step {
		x := r.samples[i]
		ms := float64(x.took.Microseconds()) / 1000
		points = append(points, plotter.XY{X: x.planned.Sub(r.begin).Seconds(), Y: ms})
		top = max(top, ms)
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Radius, dots.Color = vg.Points(0.8), color.RGBA{30, 80, 160, 255}
	p.Add(plotter.NewGrid())
	for _, w := range r.windows {
		line, err := plotter.NewLine(plotter.XYs{{X: w.changed.Sub(r.begin).Seconds(), Y: 0}, {X: w.changed.Sub(r.begin).Seconds(), Y: top}})
		if err != nil {
			return err
		}
		line.Color = color.RGBA{200, 60, 40, 255}
		if w.good {
			line.Color = color.RGBA{40, 150, 60, 255}
		}
		p.Add(line)
	}
	p.Add(dots)
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}
