package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/operator"
	"foldlb.example/foldlb/internal/upgrade"
)

// The exit codes of `foldlb upgrade`. 1 stands for what kept it from asking.
const (
	exitFellBack = 3
	exitRefused  = 4
)

var (
	socketFlag = &cli.StringFlag{Name: "socket", Usage: "the control socket; without it the operator file's is used", Sources: cli.EnvVars("FOLDLB_SOCKET")}
	jsonFlag   = &cli.BoolFlag{Name: "json", Usage: "print JSON, one value a line"}
)

// socket finds the control socket of the dispatcher that a command is for.
func socket(c *cli.Command) (string, error) {
	if path := c.String("socket"); path != "" {
		return path, nil
	}
	path := c.String("operator")
	if path == "" {
		return "", errors.New("which dispatcher? name its control socket (--socket) or its operator file (--operator)")
	}
	op, err := operator.Load(path)
	if err == nil && op.Control.Socket == "" {
		err = fmt.Errorf("%s: control.socket is not set, so the dispatcher can't be asked", path)
	}
	return op.Control.Socket, err
}

func upgradeCommand() *cli.Command {
	return &cli.Command{
		Name:  "upgrade",
		Usage: "have a running dispatcher replace itself by the binary that its operator file names, under load",
		Description: "Exit code 0: replaced. 3: fell back, the old process goes on as before. 4: refused, since an upgrade is\n" +
			"under way or the dispatcher is ending. 1: the dispatcher could not be asked.",
		Flags: []cli.Flag{operatorFlag, socketFlag, jsonFlag, &cli.BoolFlag{Name: "watch", Usage: "show each step with its time"}},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := socket(c)
			if err != nil {
				return err
			}
			var last upgrade.Progress
			begin := time.Now()
			err = control.Ask(path, "upgrade", nil, func(line []byte) error {
				if err := json.Unmarshal(line, &last); err != nil {
					return err
				}
				switch {
				case c.Bool("json"):
					fmt.Println(string(line))
				case c.Bool("watch") && !last.Final:
					fmt.Printf("%8.3f s  %s\n", time.Since(begin).Seconds(), last.Step)
				}
				return nil
			})
			if err != nil {
				return err
			}
			return outcome(last, c.Bool("json"))
		},
	}
}

// outcome words the end of an upgrade.
func outcome(p upgrade.Progress, quiet bool) error {
	switch p.Result {
	case upgrade.Replaced:
		if !quiet {
			fmt.Printf("replaced: process %d serves now; held %.1f ms, %d descriptors and %d bytes of state passed on\n", p.PID, p.HeldMS, p.Files, p.Bytes)
		}
		return nil
	case upgrade.FellBack:
		return cli.Exit("fell back, the old process goes on as before: "+p.Detail, exitFellBack)
	case upgrade.Refusal:
		return cli.Exit("refused: "+p.Detail, exitRefused)
	}
	return errors.New("the dispatcher said no final word: ask `foldlb status` who serves")
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what runs, since when, and from which binary",
		Flags: []cli.Flag{operatorFlag, socketFlag, jsonFlag},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := socket(c)
			if err != nil {
				return err
			}
			return control.Ask(path, "status", nil, func(line []byte) error {
				if c.Bool("json") {
					fmt.Println(string(line))
					return nil
				}
				var s status
				if err := json.Unmarshal(line, &s); err != nil {
					return err
				}
				w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
				fmt.Fprintf(w, "name\t%s\nlisten\t%s\npid\t%d\ngeneration\t%d\nversion\t%s\nbinary\t%s\n", s.Name, s.Listen, s.PID, s.Generation, s.Version, s.Binary)
				fmt.Fprintf(w, "this process since\t%s\nfirst start\t%s\n", s.Since.Format(time.RFC3339), s.Started.Format(time.RFC3339))
				last := "none tried by this process"
				if u := s.Upgrade; u.Result != "" {
					last = fmt.Sprintf("%s at %s: %s", u.Result, u.At.Format(time.RFC3339), u.Detail)
				}
				fmt.Fprintf(w, "last upgrade\t%s\n", last)
				return w.Flush()
			})
		},
	}
}
