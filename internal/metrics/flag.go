package metrics

import (
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// PortFlagName is the name of the flag that PortFlag returns.
const PortFlagName = "metrics-port"

const maxPort = 1<<16 - 1

// PortFlag returns the flag for the port that serves the metrics of a process. The default 0 serves none; the flag rejects values that
// aren't ports.
func PortFlag() cli.Flag {
	return &cli.IntFlag{
		Name:  PortFlagName,
		Usage: "port of the machine's address that serves the metrics of this process as text; 0 for none",
		Validator: func(port int) error {
			if port < 0 || port > maxPort {
				return errors.Errorf("--%s is %d: choose a port from 1 to %d, or 0 for none", PortFlagName, port, maxPort)
			}
			return nil
		},
	}
}
