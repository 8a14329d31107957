// Package settings reads and checks the settings file of a process of the system.
package settings

import (
	"net"
	"strconv"
)

// Settings is all that a process is told when it starts. Unknown keys of the file are ignored.
type Settings struct {
	// Path is the file that the settings were read from, so that a change of it can be seen.
	Path string `yaml:"-"`
	// MetricsPort is where the process tells its own figures, from the command line; 0 for nowhere.
	MetricsPort int `yaml:"-"`

	Node            string            `yaml:"node"`
	Role            string            `yaml:"role"`
	MachineClass    string            `yaml:"machineClass"`
	Serves          []string          `yaml:"serves"`
	IP              string            `yaml:"ip"`
	Zone            string            `yaml:"zone"`
	Region          string            `yaml:"region"`
	Zones           map[string]string `yaml:"zones"` // zone to region
	Listen          Listen            `yaml:"listen"`
	PortRange       []int             `yaml:"portRange"` // first and last port for the internal protocol
	Seeds           []string          `yaml:"seeds"`     // control addresses
	Bootstrap       bool              `yaml:"bootstrap"` // only at the first start of the whole system
	CountsForQuorum bool              `yaml:"countsForQuorum"`
	Limits          Limits            `yaml:"limits"`
	DataDir         string            `yaml:"dataDir"` // empty where there is no disk
	HeartbeatMs     int               `yaml:"heartbeatMs"`
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

// Limits are the machine's.
type Limits struct {
	CPUShare float64 `yaml:"cpuShare"`
	Cores    float64 `yaml:"cores"`
	MemoryMb int     `yaml:"memoryMb"`
	MaxFds   int     `yaml:"maxFds"`
	LinkMbps float64 `yaml:"linkMbps"`
	DiskMb   int     `yaml:"diskMb"`
}

// FaultTolerance is what may be lost at one time while nothing acknowledged is.
type FaultTolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Bounds are the figures of the rules. Those in S are seconds, those in Ms milliseconds.
type Bounds struct {
	SeedLagS       float64 `yaml:"seedLagS"`
	ReuseAfterS    float64 `yaml:"reuseAfterS"`
	ContactMs      float64 `yaml:"contactMs"`
	AckMs          float64 `yaml:"ackMs"`
	SyncS          float64 `yaml:"syncS"`
	DrainMs        float64 `yaml:"drainMs"`
	GraceS         float64 `yaml:"graceS"`
	LossSlackMs    float64 `yaml:"lossSlackMs"`
	ConfigApplyMs  float64 `yaml:"configApplyMs"`
	DowngradeMs    float64 `yaml:"downgradeMs"`
	RecoveryS      float64 `yaml:"recoveryS"`
	FinishS        float64 `yaml:"finishS"`
	StatusS        float64 `yaml:"statusS"`
	EarlyMs        float64 `yaml:"earlyMs"`
	CeilingWindowS float64 `yaml:"ceilingWindowS"`
	OriginOverrun  float64 `yaml:"originOverrun"`
}

// Cloud is the platform's list of workers.
type Cloud struct {
	Address  string  `yaml:"address"` // host:port
	RatePerS float64 `yaml:"ratePerS"`
	LagMs    float64 `yaml:"lagMs"`
}

// UsesPort reports whether the deployment has given a port to something else: an interface that a role serves, or the internal protocol.
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
