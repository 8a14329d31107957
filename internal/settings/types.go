// Package settings reads and validates the YAML settings file of a dispatcher, store or control process.
package settings

import (
	"net"
	"strconv"
)

// Settings holds the settings that a process starts with. Unknown keys of the file are ignored.
type Settings struct {
	// Path is the file that the settings were read from; Watch polls it for changes.
	Path string `yaml:"-"`
	// MetricsPort is the port that serves the metrics of the process, from the command line; 0 for none.
	MetricsPort int `yaml:"-"`

	Node            string            `yaml:"node"`
	Role            string            `yaml:"role"`
	MachineClass    string            `yaml:"machineClass"`
	Serves          []string          `yaml:"serves"`
	IP              string            `yaml:"ip"`
	Zone            string            `yaml:"zone"`
	Region          string            `yaml:"region"`
	Zones           map[string]string `yaml:"zones"` // region of each zone
	Listen          Listen            `yaml:"listen"`
	PortRange       []int             `yaml:"portRange"` // first and last port of the internal protocol
	Seeds           []string          `yaml:"seeds"`     // host:port of control processes
	Bootstrap       bool              `yaml:"bootstrap"` // true only at the first start of the whole system
	CountsForQuorum bool              `yaml:"countsForQuorum"`
	Limits          Limits            `yaml:"limits"`
	DataDir         string            `yaml:"dataDir"`     // folder of the persistent state; empty if there is no disk
	HeartbeatMs     int               `yaml:"heartbeatMs"` // maximum time between two renewals of a dispatcher
	FaultTolerance  FaultTolerance    `yaml:"faultTolerance"`
	Bounds          Bounds            `yaml:"bounds"`
	Cloud           Cloud             `yaml:"cloud"`
}

// Listen holds the host:port of each interface that the role serves.
type Listen struct {
	Front   string `yaml:"front"`
	Ready   string `yaml:"ready"`
	Control string `yaml:"control"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	CPUShare float64 `yaml:"cpuShare"`
	Cores    float64 `yaml:"cores"`
	MemoryMb int     `yaml:"memoryMb"` // MB
	MaxFds   int     `yaml:"maxFds"`   // open file descriptors
	LinkMbps float64 `yaml:"linkMbps"` // Mbit/s of the network link
	DiskMb   int     `yaml:"diskMb"`   // MB of disk space
}

// FaultTolerance is the number of machines, zones and regions that may fail at the same time without the loss of an acknowledged message.
type FaultTolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Bounds are the time limits and other bounds of the system's rules. Names that end in S are in seconds, those in Ms in milliseconds.
type Bounds struct {
	SeedLagS       float64 `yaml:"seedLagS"`
	ReuseAfterS    float64 `yaml:"reuseAfterS"`
	ContactMs      float64 `yaml:"contactMs"`
	AckMs          float64 `yaml:"ackMs"`
	SyncS          float64 `yaml:"syncS"`
	DrainMs        float64 `yaml:"drainMs"`
	GraceS         float64 `yaml:"graceS"` // for a process to shut down
	LossSlackMs    float64 `yaml:"lossSlackMs"`
	ConfigApplyMs  float64 `yaml:"configApplyMs"` // until an acknowledged change of the configuration is in force everywhere
	DowngradeMs    float64 `yaml:"downgradeMs"`
	RecoveryS      float64 `yaml:"recoveryS"`
	FinishS        float64 `yaml:"finishS"`
	StatusS        float64 `yaml:"statusS"` // minimum time for which the final state of a message is kept
	EarlyMs        float64 `yaml:"earlyMs"`
	CeilingWindowS float64 `yaml:"ceilingWindowS"`
	OriginOverrun  float64 `yaml:"originOverrun"`
}

// Cloud configures access to the platform's list of workers.
type Cloud struct {
	Address  string  `yaml:"address"`  // host:port; empty for none
	RatePerS float64 `yaml:"ratePerS"` // requests per second
	LagMs    float64 `yaml:"lagMs"`
}

// UsesPort reports whether the settings assign a port to an interface of a role or to the internal protocol.
func (s *Settings) UsesPort(port int) bool {
	if len(s.PortRange) == 2 && port >= s.PortRange[0] && port <= s.PortRange[1] {
		return true
	}
	for _, address := range []string{s.Listen.Front, s.Listen.Ready, s.Listen.Control} {
		if _, text, err := net.SplitHostPort(address); err == nil && text == strconv.Itoa(port) {
			return true
		}
	}
	return false
}
