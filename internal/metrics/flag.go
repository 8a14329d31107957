package metrics

import (
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// PortFlagName is the name of the flag that PortFlag makes.
const PortFlagName = "metrics-port"

const highestPort = 1<<16 - 1

// PortFlag names the port at which a role tells its own figures; 0, the default, for none. A number that is no port is refused.
func PortFlag() cli.Flag {
	return &cli.IntFlag{
		Name:  PortFlagName,
		Usage: "port of the machine's address at which the figures of this process are served as text; 0 for none",
		Validator: func(port int) error {
			if port < 0 || port > highestPort {
				return errors.Errorf("--%s is %d: name a port from 1 to %d, or 0 for none", PortFlagName, port, highestPort)
			}
			return nil
		},
	}
}
