// Command foldlb is a dispatcher: it takes jobs from callers and places them at quote workers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/operator"
)

// version is set when a release is built.
var version = "dev"

var operatorFlag = &cli.StringFlag{Name: "operator", Usage: "the operator file, which switches on what the platform's configuration does not name",
	Sources: cli.EnvVars("FOLDLB_OPERATOR")}

func main() {
	app := &cli.Command{
		Name:  "foldlb",
		Usage: "place callers' jobs at quote workers, by inverse response times",
		Commands: append(roleCommands(), []*cli.Command{
			{
				Name:  "serve",
				Usage: "run one dispatcher as NODE_CONFIG says",
				Flags: []cli.Flag{operatorFlag, &cli.StringFlag{Name: "log-level", Value: "info",
					Usage: "least level that is logged: error, warn, info or debug", Sources: cli.EnvVars("NODE_LOG_LEVEL")}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serve(ctx, options{level: c.String("log-level"), operator: c.String("operator")})
				},
			},
			{
				Name:   "check-config",
				Usage:  "read the configuration that serve would run with, and name what is wrong",
				Flags:  []cli.Flag{operatorFlag},
				Action: func(_ context.Context, c *cli.Command) error { return check(c.String("operator")) },
			},
			upgradeCommand(),
			statusCommand(),
			fleetCommand(),
			auditCommand(),
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					fmt.Println("foldlb", version)
					return nil
				},
			},
		}...),
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // said below, once
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldlb:", err)
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			os.Exit(coded.ExitCode())
		}
		os.Exit(1)
	}
}

// check reads what serve would read. With an operator file alone, only that is checked.
func check(path string) error {
	if path != "" {
		op, err := operator.Load(path)
		if err != nil {
			return err
		}
		fmt.Printf("%s: control socket %q, log as %s\n", path, op.Control.Socket, op.Log.Format)
		if f := op.Fleet; f != nil {
			fmt.Printf("%s: member of fleet %s at %v, %d seeds\n", path, f.Name, f.Listen, len(f.Seeds))
		}
		if os.Getenv("NODE_CONFIG") == "" {
			return nil
		}
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d classes, %d known workers, %d descriptors, %d MB\n", cfg.Name,
		len(cfg.Settings.Classes), len(cfg.KnownRoutes.Workers), cfg.Limits.Sockets, cfg.Limits.MemoryMB)
	return nil
}
