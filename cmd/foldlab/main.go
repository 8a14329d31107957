// Command foldlab plays fleets on loopback around real dispatchers, and judges what it sees.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of all that is drawn at random"}
	foldlb := &cli.StringFlag{Name: "foldlb", Usage: "the dispatcher's binary; without it the one beside this program"}
	app := &cli.Command{
		Name:  "foldlab",
		Usage: "play a fleet around real dispatchers",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play a scenario file, print what came of it, and exit 1 when a promise is broken", ArgsUsage: "SCENARIO",
				Flags: []cli.Flag{seed, foldlb, &cli.StringFlag{Name: "out", Usage: "folder for results.json and charts"},
					&cli.IntFlag{Name: "dispatchers", Usage: "in place of the scenario's number"},
					&cli.BoolFlag{Name: "quiet", Usage: "no line each second"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return errors.New("run: name one scenario file, such as lab/upgrade-short.hcl")
					}
					s, err := lab.LoadScenario(c.Args().First())
					if err != nil {
						return err
					}
					if n := c.Int("dispatchers"); n > 0 && s.Dispatchers > 0 {
						s.Dispatchers = n
					}
					return play(ctx, c, c.Args().First(), s)
				},
			},
			{
				Name: "demo", Usage: "show a dispatcher at work: a roster, eight workers, one dispatcher, callers, and an upgrade under load",
				Flags: []cli.Flag{seed, foldlb, &cli.StringFlag{Name: "out", Usage: "folder for results.json and charts"},
					&cli.IntFlag{Name: "dispatchers", Usage: "so many that keep a view of their fleet, with a partition and a crash in place of the upgrade"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					if n := c.Int("dispatchers"); n > 0 {
						s, err := lab.ParseScenario("demo.hcl", []byte(fleetDemo(n)))
						if err != nil {
							return err
						}
						fmt.Printf("eight quote workers, a roster, %d dispatchers that keep a view of their fleet, and callers that send 200 requests a second\n", n)
						fmt.Println("for 24 s; after 5 s n1 can't reach the others, after 11 s it can again; n2 is killed after 15 s and starts again after 18 s.")
						return play(ctx, c, "demo", s)
					}
					s, err := lab.ParseScenario("demo.hcl", []byte(demo))
					if err != nil {
						return err
					}
					fmt.Println("eight quote workers, a roster, one dispatcher, and callers that send 200 requests a second for 12 s;")
					fmt.Println("after 4 s the dispatcher replaces itself by a new process, with every connection and request.")
					return play(ctx, c, "demo", s)
				},
			},
			serviceCommand(seed),
			{
				Name: "bad", Hidden: true, Usage: "play a new process that starts badly",
				Action: func(_ context.Context, c *cli.Command) error { return lab.StartBadly(c.Args().First()) },
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldlab:", err)
		os.Exit(1)
	}
}

// tools finds the programs that a run uses.
func tools(foldlb string) (lab.Tools, error) {
	self, err := os.Executable()
	if err != nil {
		return lab.Tools{}, err
	}
	if foldlb == "" {
		foldlb = filepath.Join(filepath.Dir(self), "foldlb")
	}
	if foldlb, err = filepath.Abs(foldlb); err != nil {
		return lab.Tools{}, err
	}
	if _, err := os.Stat(foldlb); err != nil {
		return lab.Tools{}, fmt.Errorf("the dispatcher's binary: %w (build it with: mkdir -p bin && go build -o bin/ ./cmd/...)", err)
	}
	return lab.Tools{Foldlb: foldlb, Foldlab: self}, nil
}

func play(ctx context.Context, c *cli.Command, name string, s *lab.Scenario) error {
	t, err := tools(c.String("foldlb"))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "foldlab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o := lab.Options{Seed: c.Uint64("seed"), Tools: t, Dir: dir}
	if !c.Bool("quiet") {
		o.Tick = func(elapsed time.Duration, l *lab.Ledger) { fmt.Printf("%4.0f s  %s\n", elapsed.Seconds(), l.Count()) }
	}
	play := lab.Run
	if s.Dispatchers > 0 {
		play = lab.RunFleet
	}
	r, err := play(ctx, name, s, o)
	if err != nil {
		return err
	}
	fmt.Println()
	r.Table(os.Stdout)
	if out := c.String("out"); out != "" {
		if err := r.Write(out); err != nil {
			return err
		}
		logs, _ := filepath.Glob(filepath.Join(dir, "n*", "foldlb.log")) // of a fleet
		for _, path := range append(logs, filepath.Join(dir, "foldlb.log")) {
			if log, err := os.ReadFile(path); err == nil && !r.OK {
				os.WriteFile(filepath.Join(out, strings.TrimPrefix(filepath.Base(filepath.Dir(path))+"-", filepath.Base(dir)+"-")+"foldlb.log"), log, 0o644)
			}
		}
	}
	if !r.OK {
		return errors.New("a promise is broken")
	}
	return nil
}

// fleetDemo is the demo of a fleet.
func fleetDemo(dispatchers int) string {
	others := make([]string, 0, dispatchers)
	for i := 2; i <= dispatchers; i++ {
		others = append(others, fmt.Sprintf("%q", fmt.Sprint("n", i)))
	}
	return fmt.Sprintf(`title = "demo of a fleet"
duration = "24s"
dispatchers = %d
event "cut" {
  at = 5
  groups = [["n1"], [%s]]
}
event "heal" { at = 11 }
event "kill" {
  at = 15
  dispatcher = "n2"
}
event "start" {
  at = 18
  dispatcher = "n2"
}
promises {
  connections_closed = 200
  crossed_closes = 50
  refused = 50
  failed = 20
}
%s`, dispatchers, strings.Join(others, ", "), demoFleet)
}

const demo = `
title    = "demo"
duration = "12s"
event "upgrade" { at = 4 }
promises {}
` + demoFleet

const demoFleet = `
rate     = 200
callers  = 48
class "price-trip" {
  part = 6
  effect = "idempotent"
  aim_ms = 200
  deadline_s = 2
  worth = 1
  work_ms = 25
  spread = 0.5
}
class "save-quote" {
  part = 3
  effect = "deduplicated"
  aim_ms = 300
  deadline_s = 3
  worth = 2
  work_ms = 40
  spread = 0.4
}
class "issue-policy" {
  part = 1
  effect = "at_most_once"
  aim_ms = 500
  deadline_s = 4
  worth = 8
  work_ms = 80
  spread = 0.4
}
workers "old-box" {
  count = 4
  slots = 8
}
workers "new-blade" {
  count = 4
  slots = 8
  pace  = 2
}
`
