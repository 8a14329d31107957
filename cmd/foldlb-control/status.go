package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/controlplane"
	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/settings"
)

const statusTimeout = 3 * time.Second // of one question

// controlClient calls control processes. Its calls need a context with a deadline.
var controlClient = responsecheck.NewClient(0)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print who leads, the nodes with their leases and lag, who owns the partitions, and which configuration is in force where",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "address", Usage: "host:port of any control process; without it those that the settings name"},
			&cli.BoolFlag{Name: "json", Usage: "print all that is known as JSON"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			addresses, err := statusAddresses(command)
			if err != nil {
				return err
			}
			status, err := leaderStatus(ctx, addresses)
			if err != nil {
				return err
			}
			if command.Bool("json") {
				encoder := json.NewEncoder(os.Stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(status)
			}
			printStatus(os.Stdout, status)
			return nil
		},
	}
}

// statusAddresses lists the control processes to ask.
func statusAddresses(command *cli.Command) ([]string, error) {
	if address := command.String("address"); address != "" {
		return []string{address}, nil
	}
	loaded, err := settings.Load(command.String("settings"))
	if err != nil {
		return nil, errors.WithMessage(err, "give --address, or a settings file that names control processes")
	}
	addresses := loaded.Seeds
	if loaded.Listen.Control != "" {
		addresses = append([]string{loaded.Listen.Control}, addresses...)
	}
	if len(addresses) == 0 {
		return nil, errors.New("the settings name no control process: give --address")
	}
	return addresses, nil
}

// leaderStatus returns what the leader knows, or what another process knows where no leader answers.
func leaderStatus(ctx context.Context, addresses []string) (*controlplane.Status, error) {
	var known *controlplane.Status
	var fault error
	for _, address := range addresses {
		status, err := askStatus(ctx, address)
		if err != nil {
			fault = err
			continue
		}
		if !status.Leader && status.LeaderAddress != "" {
			if leading, err := askStatus(ctx, status.LeaderAddress); err == nil {
				status = leading
			}
		}
		known = status
		if status.Leader {
			break
		}
	}
	if known == nil {
		return nil, fault
	}
	return known, nil
}

func askStatus(ctx context.Context, address string) (*controlplane.Status, error) {
	asking, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(asking, http.MethodGet, "http://"+address+"/internal/status", nil)
	if err != nil {
		return nil, errors.Wrap(err, "correct the address: it is host:port")
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask another control process")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s: ask another control process", address, response.Status)
	}
	status := &controlplane.Status{}
	if err := responsecheck.DecodeJSON(response.Body, status); err != nil {
		return nil, errors.Wrap(err, "the status can't be read: ask again, or use the same build as the control process")
	}
	return status, nil
}

// printStatus writes a status for people.
func printStatus(out io.Writer, status *controlplane.Status) {
	printLeadership(out, status)
	printNodes(out, status)
	printPartitions(out, status)
	printConfiguration(out, status)
}
