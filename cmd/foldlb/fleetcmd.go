package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/membership"
)

// The exit codes of `foldlb fleet wait` and `foldlb fleet remove`. 1 stands for what kept them from asking.
const (
	exitNotSettled = 3
	exitNotRemoved = 4
	exitNotTold    = 3 // of a floor: not over half of the members were seen to hold it
	exitFloor      = 4 // it was refused
)

const waitPoll = 100 * time.Millisecond

func fleetCommand() *cli.Command {
	ask := []cli.Flag{operatorFlag, socketFlag, jsonFlag}
	return &cli.Command{
		Name:  "fleet",
		Usage: "show which dispatchers a dispatcher knows of, and what it holds of each",
		Flags: append([]cli.Flag{&cli.BoolFlag{Name: "watch", Usage: "go on, with each change"}}, ask...),
		Action: func(_ context.Context, c *cli.Command) error {
			return askFleet(c, map[string]any{"watch": c.Bool("watch")}, func(v fleetView) error { return v.table(os.Stdout) })
		},
		Commands: []*cli.Command{
			{
				Name: "events", Usage: "show what changed, when and why", Flags: ask,
				Action: func(_ context.Context, c *cli.Command) error {
					return askFleet(c, map[string]any{"history": true}, func(v fleetView) error { return v.events(os.Stdout) })
				},
			},
			{
				Name:        "wait",
				Usage:       "wait until the view has so many members that are reached, and has not changed for a time",
				Description: "Exit code 0: it is so. 3: it was not so within the time. 1: the dispatcher could not be asked.",
				Flags: append([]cli.Flag{&cli.IntFlag{Name: "members", Usage: "that are reached, this one among them; 0 for any number"},
					&cli.DurationFlag{Name: "settled", Value: time.Second, Usage: "for which nothing changed"},
					&cli.DurationFlag{Name: "within", Value: 30 * time.Second, Usage: "to wait at the most"}}, ask...),
				Action: waitFleet,
			},
			{
				Name: "floor", Usage: "say that nothing older than a version may be acted on any more, or withdraw that",
				Description: "Who is below brings itself up, or is shut out at the time: it answers no to /healthz and sends nothing new.\n" +
					"Exit code 0: over half of the members hold it. 3: that was not seen yet; it goes on being told. 4: refused.",
				Flags: append([]cli.Flag{&cli.Int64Flag{Name: "config", Usage: "least version of the configuration"},
					&cli.Int64Flag{Name: "routes", Usage: "least version of the route set"},
					&cli.StringFlag{Name: "program", Usage: "the program's version, none but which may act"},
					&cli.DurationFlag{Name: "within", Value: 10 * time.Second, Usage: "for members to come up to it"},
					&cli.StringFlag{Name: "why", Usage: "the reason, which everybody is shown"},
					&cli.BoolFlag{Name: "force", Usage: "also where over half of a zone or of the fleet would be shut out"},
					&cli.BoolFlag{Name: "withdraw", Usage: "withdraw what was said of that kind"}}, ask...),
				Action: tellFloor,
			},
			{
				Name: "remove", Usage: "say that a member is gone for good, so that it no longer counts as one that may act", ArgsUsage: "NAME",
				Description: "Exit code 0: removed. 4: refused, as it answers or nobody knows it. 1: the dispatcher could not be asked.\n" +
					"Danger: one that runs on out of reach counts no more, and its part is spent twice.",
				Flags: ask,
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return errors.New("fleet remove: name one member")
					}
					path, err := socket(c)
					if err != nil {
						return err
					}
					err = control.Ask(path, "fleet-remove", map[string]string{"name": c.Args().First()}, func([]byte) error { return nil })
					var fault control.RemoteError
					if errors.As(err, &fault) {
						return cli.Exit("refused: "+err.Error(), exitNotRemoved)
					}
					return err
				},
			},
		},
	}
}

func tellFloor(_ context.Context, c *cli.Command) error {
	o := floorOrder{Within: c.Duration("within").Seconds(), Why: c.String("why"), Force: c.Bool("force"), Withdraw: c.Bool("withdraw")}
	n := 0
	for _, k := range []struct {
		flag string
		kind membership.Kind
	}{{"config", membership.KindConfig}, {"routes", membership.KindRoutes}, {"program", membership.KindProgram}} {
		if c.IsSet(k.flag) {
			n++
			if o.Kind = k.kind; k.kind == membership.KindProgram {
				o.Program = c.String(k.flag)
			} else {
				o.No = c.Int64(k.flag)
			}
		}
	}
	if n != 1 || o.Why == "" {
		return errors.New("fleet floor: one of --config, --routes and --program, and --why, are needed")
	}
	path, err := socket(c)
	if err != nil {
		return err
	}
	return control.Ask(path, "fleet-floor", o, func(line []byte) error {
		if c.Bool("json") {
			fmt.Println(string(line))
		}
		var a floorAnswer
		if err := json.Unmarshal(line, &a); err != nil {
			return err
		}
		switch {
		case a.Fault != "":
			return cli.Exit(fmt.Sprintf("refused: %s; below it now: %v", a.Fault, a.Hit), exitFloor)
		case !a.Told:
			return cli.Exit(fmt.Sprintf("told, but over half of the members were not yet seen to hold it; below it now: %v", a.Hit), exitNotTold)
		case c.Bool("json"):
		case a.Bound < 0:
			fmt.Printf("over half of the members hold it; below it now: %v. Without a lease a member out of reach may act below it.\n", a.Hit)
		default:
			fmt.Printf("over half of the members hold it; below it now: %v. In %.1f s no member acts below it, reached or not.\n", a.Hit, a.Bound)
		}
		return nil
	})
}

// askFleet asks for the view and passes each that comes to show, or prints it as JSON.
func askFleet(c *cli.Command, args map[string]any, show func(fleetView) error) error {
	path, err := socket(c)
	if err != nil {
		return err
	}
	return control.Ask(path, "fleet", args, func(line []byte) error {
		if c.Bool("json") {
			fmt.Println(string(line))
			return nil
		}
		var v fleetView
		if err := json.Unmarshal(line, &v); err != nil {
			return err
		}
		return show(v)
	})
}

func waitFleet(ctx context.Context, c *cli.Command) error {
	path, err := socket(c)
	if err != nil {
		return err
	}
	until := time.Now().Add(c.Duration("within"))
	for {
		var v fleetView
		err := control.Ask(path, "fleet", nil, func(line []byte) error { return json.Unmarshal(line, &v) })
		if err == nil && (c.Int("members") == 0 || v.Reached == c.Int("members")) && v.Settled >= c.Duration("settled").Seconds() && !v.disputed() {
			return nil
		}
		if time.Now().After(until) {
			if err != nil {
				return err
			}
			return cli.Exit(fmt.Sprintf("not settled: %d members are reached, and nothing has changed for %.1f s", v.Reached, v.Settled), exitNotSettled)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPoll):
		}
	}
}

// disputed tells whether another member holds something else.
func (v fleetView) disputed() bool {
	for _, m := range v.Members {
		if m.Disagrees {
			return true
		}
	}
	return false
}

func (v fleetView) table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tADDRESS\tZONE\tSTATE\tFOR\tGEN\tPROGRAM\tCONFIG\tROUTES\t")
	for _, m := range v.Members {
		remark := ""
		switch {
		case m.Self:
			remark = "asked"
		case !m.Reached:
			remark = "not reached"
		case m.Disagrees:
			remark = "holds something else"
		}
		if m.Conflict {
			remark += " (its name is in two places)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", m.Name, m.Addr, m.Zone, m.State, ago(m.Since), m.Generation, versionText(m.Program),
			versionText(m.Config), versionText(m.Routes), remark)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(to, "fleet %s, view %s, unchanged for %s; %d may be acting, %d are reached", v.Fleet, v.Digest, ago(v.Settled), v.Acting, v.Reached)
	for _, zone := range slices.Sorted(maps.Keys(v.Zones)) {
		fmt.Fprintf(to, "; %d in zone %q", v.Zones[zone], zone)
	}
	for _, f := range v.Floors {
		fmt.Fprintf(to, "\nfloor of the %s: %d of %s, by %s: %s", f.Kind, f.No, f.Source, f.By, f.Why)
		if f.In > 0 {
			fmt.Fprintf(to, " (in force in %s)", ago(f.In))
		}
	}
	if v.Fenced != "" {
		fmt.Fprintf(to, "\nSHUT OUT: %s", v.Fenced)
	}
	_, err := fmt.Fprint(to, "\n\n")
	return err
}

func (v fleetView) events(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AGO\tMEMBER\tADDRESS\tWHAT\tWHY")
	for _, c := range v.History {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", ago(c.Ago), c.Name, c.Addr, c.What, c.Why)
	}
	return w.Flush()
}

func ago(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}

// versionText is a version's number, or what tells it from others where its source gives none.
func versionText(v membership.Version) string {
	if v.No != 0 {
		return fmt.Sprint(v.No)
	}
	return fmt.Sprintf("%s#%04x", v.Source, v.Digest&0xffff)
}
