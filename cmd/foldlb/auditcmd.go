package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/audit/trail"
	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/membership"
)

// The exit codes of `foldlb audit verify` and `foldlb audit request`. 1 stands for what could not be read or asked.
const (
	exitBroken  = 3
	exitUnknown = 4
	exitOlder   = 4 // of a configuration: the files state an older one than the one in force
)

func auditCommand() *cli.Command {
	ask := []cli.Flag{operatorFlag, socketFlag, jsonFlag}
	return &cli.Command{
		Name:  "audit",
		Usage: "ask which dispatcher acted on which version of program, configuration and route set",
		Commands: []*cli.Command{
			{Name: "who", Usage: "show what each member of the fleet acts on, and who lags behind whom", Flags: ask, Action: auditWho},
			{Name: "config", Usage: "show the configuration in force, whoever told it, to bring a file up to it", Flags: ask, Action: auditConfig,
				Description: "Prints the settings that the members share; `me` and `zone` stay the file's own. Exit code 4: the operator file states an older number."},
			{Name: "request", Usage: "show what dispatchers did for a request, on what", ArgsUsage: "ID [SOCKET ...]", Flags: ask, Action: auditRequest,
				Description: "Asks the dispatcher of --socket or --operator, and those at the control sockets named. Exit code 4: none remembers it."},
			{Name: "at", Usage: "show what each member acted on at a time", ArgsUsage: "TIME FOLDER ...", Flags: []cli.Flag{jsonFlag}, Action: auditAt,
				Description: "TIME is RFC 3339, by the clocks of the machines that wrote the records."},
			{Name: "version", Usage: "show each member's first and last act on a version", ArgsUsage: "NUMBER FOLDER ...",
				Flags: []cli.Flag{jsonFlag, &cli.StringFlag{Name: "kind", Value: "route set", Usage: "route set or configuration"}}, Action: auditVersion},
			{Name: "verify", Usage: "check the records of any number of members, also of dead ones", ArgsUsage: "FOLDER ...", Flags: []cli.Flag{jsonFlag}, Action: auditVerify,
				Description: "Exit code 0: all promises are kept. 3: one is broken, or a record can't be believed. 1: a folder can't be read."},
		},
	}
}

func auditWho(_ context.Context, c *cli.Command) error {
	return askFleet(c, nil, func(v fleetView) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "MEMBER\tSTATE\tPROGRAM\tCONFIG\tROUTES\tBEHIND\tWHY")
		for _, m := range v.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, versionText(m.Program), versionText(m.Config), versionText(m.Routes), m.Lag.text(), m.Lag.Why)
		}
		for _, x := range v.Clashes {
			fmt.Fprintf(w, "the %s %d of %s has two contents: one at %s, another at %s\n", x.Kind, x.No, x.Source, x.A, x.B)
		}
		return w.Flush()
	})
}

// lag is how far a member is behind the others.
type lag struct {
	Config  int64   `json:"config,omitempty"`
	Routes  int64   `json:"routes,omitempty"`
	Seconds float64 `json:"seconds,omitempty"` // for which somebody has been ahead
	Why     string  `json:"why,omitempty"`
}

func (l lag) text() string {
	switch {
	case l.Config == 0 && l.Routes == 0:
		return "-"
	case l.Config == 0:
		return fmt.Sprintf("%d route sets, %s", l.Routes, ago(l.Seconds))
	}
	return fmt.Sprintf("%d configurations, %d route sets, %s", l.Config, l.Routes, ago(l.Seconds))
}

// lags compares what members act on. Only versions of one source compare.
func lags(all []membership.Member, now float64) []lag {
	out := make([]lag, len(all))
	for i, m := range all {
		if m.Departed() {
			continue
		}
		l := &out[i]
		for _, x := range all {
			if !x.Live() {
				continue
			}
			for _, k := range []struct {
				what     string
				own, its membership.Version
				to       *int64
				since    float64
			}{{"configuration", m.Config, x.Config, &l.Config, x.ConfigAt}, {"route set", m.Routes, x.Routes, &l.Routes, x.RoutesAt}} {
				switch {
				case k.own.Source != k.its.Source || k.own.No <= 0 || k.its.No <= 0:
				case k.own.No == k.its.No && k.own.Digest != k.its.Digest:
					l.Why = fmt.Sprintf("%s %d has another content at %s", k.what, k.own.No, x.Name)
				case k.its.No > k.own.No:
					if d := k.its.No - k.own.No; d >= *k.to {
						*k.to, l.Seconds = d, max(l.Seconds, now-k.since)
						if l.Why == "" {
							l.Why = fmt.Sprintf("%s is ahead", x.Name)
						}
					}
				}
			}
		}
		if l.Why != "" && !m.Live() {
			l.Why += "; it is not reached"
		}
	}
	return out
}

// auditConfig prints the configuration in force.
func auditConfig(_ context.Context, c *cli.Command) error {
	path, err := socket(c)
	if err != nil {
		return err
	}
	var a configAnswer
	if err := control.Ask(path, "audit-config", nil, func(line []byte) error { return json.Unmarshal(line, &a) }); err != nil {
		return err
	}
	out, from := any(a), ""
	if !c.Bool("json") {
		out = a.Settings
		if a.By != "" {
			from = ", told by " + a.By
		}
		fmt.Fprintf(os.Stderr, "configuration %s of %q%s; the operator file states %d\n", versionText(a.Config), a.Config.Source, from, a.Stated)
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if a.Stated < a.Config.No {
		return cli.Exit("", exitOlder)
	}
	return nil
}

func auditRequest(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 1 {
		return errors.New("audit request: name the request's id")
	}
	id, sockets := c.Args().First(), c.Args().Tail()
	if c.String("socket") != "" || c.String("operator") != "" {
		path, err := socket(c)
		if err != nil {
			return err
		}
		sockets = append([]string{path}, sockets...)
	}
	if len(sockets) == 0 {
		return errors.New("audit request: which dispatchers? name their control sockets, or --socket or --operator")
	}
	type line struct {
		member string
		auditAct
	}
	var all []line
	for _, path := range sockets {
		err := control.Ask(path, "audit", map[string]string{"request": id}, func(text []byte) error {
			var a auditAnswer
			if err := json.Unmarshal(text, &a); err != nil {
				return err
			}
			for _, act := range a.Acts {
				all = append(all, line{a.Member, act})
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if len(all) == 0 {
		return cli.Exit("no dispatcher that was asked remembers "+id, exitUnknown)
	}
	slices.SortStableFunc(all, func(a, b line) int { return int(a.Wall - b.Wall) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tMEMBER\tACT\tWORKER\tCONFIG\tROUTES")
	for _, l := range all {
		if c.Bool("json") {
			text, err := json.Marshal(map[string]any{"member": l.member, "act": l.auditAct})
			if err != nil {
				return err
			}
			fmt.Println(string(text))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", clock(l.Wall), l.member, l.What, l.Worker, versionText(l.Versions.Config), versionText(l.Versions.Routes))
	}
	return w.Flush()
}

func clock(wall int64) string { return time.UnixMilli(wall).UTC().Format("2006-01-02T15:04:05.000Z") }

func auditAt(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.New("audit at: name a time and the folders")
	}
	at, err := time.Parse(time.RFC3339, c.Args().First())
	if err != nil {
		return fmt.Errorf("audit at: %w", err)
	}
	v, err := trail.Verify(c.Args().Tail(), true)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tPROCESS\tFROM\tUNTIL\tCONFIG\tROUTES\tACTS")
	for _, e := range v.Spans {
		from := e.Wall - int64((e.Span.Until-e.Span.From)*1000)
		if ms := at.UnixMilli(); ms < from || ms > e.Wall {
			continue
		}
		if c.Bool("json") {
			text, err := json.Marshal(e)
			if err != nil {
				return err
			}
			fmt.Println(string(text))
			continue
		}
		fmt.Fprintf(w, "%s\t%x\t%s\t%s\t%s\t%s\t%s\n", e.Member, e.Process, clock(from), clock(e.Wall), versionText(e.Span.Versions.Config), versionText(e.Span.Versions.Routes), counts(e.Span))
	}
	return w.Flush()
}

func counts(s audit.Span) string {
	text := ""
	for k, n := range s.Counts {
		if n > 0 {
			text += fmt.Sprintf("%d %s ", n, audit.Kind(k))
		}
	}
	return text
}

func auditVersion(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.New("audit version: name a number and the folders")
	}
	no, err := strconv.ParseInt(c.Args().First(), 10, 64)
	if err != nil {
		return fmt.Errorf("audit version: %w", err)
	}
	v, err := trail.Verify(c.Args().Tail(), false)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSOURCE\tDIGEST\tFIRST\tLAST\tACTS")
	for _, u := range v.Uses {
		if u.Kind != c.String("kind") || u.Version.No != no {
			continue
		}
		if c.Bool("json") {
			text, err := json.Marshal(u)
			if err != nil {
				return err
			}
			fmt.Println(string(text))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%016x\t%s\t%s\t%d\n", u.Member, u.Version.Source, u.Version.Digest, clock(u.FirstWall), clock(u.LastWall), u.Acts)
	}
	return w.Flush()
}

func auditVerify(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("audit verify: name the folders")
	}
	v, err := trail.Verify(c.Args().Slice(), false)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		fmt.Printf("%d members, %d records in %d bytes, %d acts, %d records missing behind gaps, %d ends cut off\n", v.Members, v.Records, v.Bytes, v.Acts, v.Missing, v.Cuts)
		for _, b := range v.Violations {
			fmt.Printf("BROKEN %s: %s: %s\n", b.Member, b.Where, b.What)
		}
	}
	if len(v.Violations) > 0 {
		return cli.Exit(fmt.Sprintf("%d promises are broken", len(v.Violations)), exitBroken)
	}
	return nil
}
