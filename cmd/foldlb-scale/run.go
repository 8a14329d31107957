package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	defaultFolder   = "docs/measurements/scale"
	defaultBinaries = "target"
	runWithin       = 9 * time.Minute
	largeMemoryMb   = 2048 // so that the bound on memory does not slow the large lists
	quickCloudRate  = 2000 // calls a second that the stand-in list takes in the points of destinations
	plainCloudRate  = 47   // as the sites have
)

// part is one part of a run.
type part struct {
	name string
	run  func(context.Context, string, *record) error
}

// parts lists all parts in the order of a run.
func parts() []part {
	return []part{
		{"backlog", runBacklog},
		{"traffic", runTraffic},
		{"dispatchers", runDispatchers},
		{"relays", runRelays},
		{"destinations", runDestinations},
		{"routes", runRoutes},
		{"faults", runFaults},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "measure all parts, or those named, and write their records",
		Flags: []cli.Flag{
			outFlag(),
			&cli.StringFlag{Name: "binaries", Value: defaultBinaries, Usage: "folder of foldlb and foldlb-control"},
			&cli.StringFlag{Name: "commit", Usage: "commit that the programs were built from; default that of the repository"},
			&cli.StringSliceFlag{Name: "part", Usage: "part to measure: " + strings.Join(partNames(), ", ")},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			bounded, cancel := context.WithTimeout(ctx, runWithin)
			defer cancel()
			return runParts(bounded, command.StringSlice("part"), command.String("out"), command.String("binaries"), commitOf(command))
		},
	}
}

func outFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: "out", Value: defaultFolder, Usage: "folder of the records"}
}

func partNames() []string {
	var names []string
	for _, each := range parts() {
		names = append(names, each.name)
	}
	return names
}

// commitOf returns the commit to record.
func commitOf(command *cli.Command) string {
	if named := command.String("commit"); named != "" {
		return named
	}
	output, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(output))
}

// runParts measures the parts named, all if none is, and writes the record of each.
func runParts(ctx context.Context, wanted []string, folder, binaries, commit string) error {
	for _, each := range parts() {
		if len(wanted) > 0 && !slices.Contains(wanted, each.name) {
			continue
		}
		started := now()
		measured := &record{Part: each.name, Date: today(), Commit: commit, Cores: runtime.NumCPU(), LoadAt: loadAverage(), NotShown: notShown}
		fmt.Fprintln(os.Stderr, "measuring", each.name)
		err := each.run(ctx, binaries, measured)
		measured.TookS = round(now().since(started).Seconds())
		if err != nil {
			return errors.Wrapf(err, "part %s was not measured whole, and its record stays as it was", each.name)
		}
		if err := measured.save(folder); err != nil {
			return err
		}
	}
	return nil
}

// notShown is what a run on one machine can't show.
var notShown = []string{
	"all processes share one machine's processors, memory bandwidth and disk; loopback has no distance, loss or bound on bytes",
	"bytes are those of read and write calls: headers of TCP and IP and retransmissions are not in them",
	"hollow dispatchers carry no traffic, so contention between traffic and control within a process does not show",
	"killed processes reset their connections; machines without power do not, so their streams end by time-outs instead",
	"zones and regions are names only: no delay, no cut",
}

// loadAverage is the machine's, as other work may have slowed the run.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

func runBacklog(ctx context.Context, _ string, measured *record) error {
	for _, messages := range []int{100_000, 1_000_000} {
		kept, err := measureBacklogApart(ctx, messages)
		if err != nil {
			return err
		}
		measured.Backlogs = append(measured.Backlogs, kept)
	}
	return nil
}

func runTraffic(ctx context.Context, binaries string, measured *record) error {
	taken, err := measureTraffic(ctx, binaries, size{destinations: 200, routes: 100, realOnes: 4, cloudRate: plainCloudRate}, []int{100, 400, 800})
	measured.Traffic = taken
	return err
}

func runDispatchers(ctx context.Context, binaries string, measured *record) error {
	return runPoints(ctx, measured, measurePoint, binaries, []size{
		{dispatchers: 100, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
		{dispatchers: 300, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
		{dispatchers: 600, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
		{dispatchers: 1000, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
		{dispatchers: 1200, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
		{dispatchers: 1800, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate},
	})
}

func runRelays(ctx context.Context, binaries string, measured *record) error {
	return runPoints(ctx, measured, measurePoint, binaries, []size{
		{dispatchers: 1800, destinations: 200, routes: 100, relays: 2, cloudRate: plainCloudRate},
		{dispatchers: 1800, destinations: 200, routes: 100, relays: 6, cloudRate: plainCloudRate},
	})
}

func runDestinations(ctx context.Context, binaries string, measured *record) error {
	sizes := []size{}
	for _, destinations := range []int{1_000, 10_000, 50_000, 220_000} {
		sizes = append(sizes, size{dispatchers: 6, destinations: destinations, routes: 100, realOnes: 1, memoryMb: largeMemoryMb, cloudRate: quickCloudRate})
	}
	// Once more at the pace that the platform allows: control takes half of its calls.
	sizes = append(sizes, size{dispatchers: 6, destinations: 50_000, routes: 100, realOnes: 1, memoryMb: largeMemoryMb, cloudRate: plainCloudRate})
	return runPoints(ctx, measured, measureDestinations, binaries, sizes)
}

func runRoutes(ctx context.Context, binaries string, measured *record) error {
	sizes := []size{}
	for _, routes := range []int{100, 1_000, 10_000} {
		sizes = append(sizes, size{dispatchers: 8, destinations: 200, routes: routes, realOnes: 1, memoryMb: largeMemoryMb, cloudRate: plainCloudRate})
	}
	return runPoints(ctx, measured, measurePoint, binaries, sizes)
}

func runFaults(ctx context.Context, binaries string, measured *record) error {
	for _, dispatchers := range []int{300, 900} {
		faults, err := measureFaults(ctx, binaries, size{dispatchers: dispatchers, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate})
		measured.Faults = append(measured.Faults, faults...)
		if err != nil {
			return err
		}
	}
	lost, err := measureZone(ctx, binaries, size{dispatchers: 900, destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate})
	measured.Faults = append(measured.Faults, lost)
	if err != nil {
		return err
	}
	both, err := measureTwoStores(ctx, binaries, size{destinations: 200, routes: 100, realOnes: 3, cloudRate: plainCloudRate})
	measured.Faults = append(measured.Faults, both)
	return err
}

// runPoints measures sizes one after the other.
func runPoints(ctx context.Context, measured *record, measure func(context.Context, string, size) (point, error), binaries string, sizes []size) error {
	for _, wanted := range sizes {
		taken, err := measure(ctx, binaries, wanted)
		if err != nil {
			return err
		}
		measured.Points = append(measured.Points, taken)
		fmt.Fprintf(os.Stderr, " %d dispatchers, %d destinations, %d routes: %d follow\n", wanted.dispatchers, wanted.destinations, wanted.routes, taken.Following)
	}
	return nil
}
