package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/localrun"
)

const (
	defaultTraffic = 14 * time.Second
	mostFaultLines = 20 // of a verdict
)

// serviceCommand plays the whole service on loopback.
func serviceCommand(seed cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run the whole service on loopback, kill a store and a dispatcher, account for every message, and exit 1 when a promise is broken",
		Flags: []cli.Flag{
			seed,
			&cli.StringFlag{Name: "programs", Usage: "folder of foldlb and foldlb-control; without it that of this program"},
			&cli.DurationFlag{Name: "traffic", Value: defaultTraffic, Usage: "how long clients send; 10s at least"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the folder of settings, logs and data"},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, command *cli.Command) error {
	programs, err := programFolder(command.String("programs"))
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "foldlb-service-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder")
	}
	verdict, err := localrun.Run(ctx, localrun.Options{
		Programs: programs,
		Folder:   folder,
		Traffic:  max(command.Duration("traffic"), 10*time.Second),
		Seed:     command.Uint64("seed"),
		Out:      os.Stdout,
	})
	if err == nil {
		err = tellVerdict(verdict)
	}
	if err != nil || command.Bool("keep") {
		fmt.Println("settings, logs and data are in", folder)
		return err
	}
	return os.RemoveAll(folder)
}

// programFolder finds the binaries that are played.
func programFolder(given string) (string, error) {
	if given == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		given = filepath.Dir(self)
	}
	folder, err := filepath.Abs(given)
	if err != nil {
		return "", err
	}
	for _, name := range []string{"foldlb", "foldlb-control"} {
		if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
			return "", errors.Wrap(err, "build all programs into one folder: mkdir -p bin && go build -o bin/ ./cmd/...")
		}
	}
	return folder, nil
}

// tellVerdict prints what came of a run, and returns an error where it broke a promise.
func tellVerdict(verdict *localrun.Verdict) error {
	fmt.Printf("\n%d messages offered, %d accepted: %d completed, %d dead with a reason, %d successes ran again after a kill\n",
		verdict.Offered, verdict.Accepted, verdict.Completed, verdict.Dead, verdict.Repeats)
	if verdict.Held() {
		fmt.Println("HELD: every accepted message has its end, in the order of its key, within rates and delays; nothing is lost")
		return nil
	}
	for i, line := range verdict.Broken {
		if i == mostFaultLines {
			fmt.Printf("  and %d more\n", len(verdict.Broken)-i)
			break
		}
		fmt.Println("  broken:", line)
	}
	return errors.New("NOT HELD: a promise is broken")
}
