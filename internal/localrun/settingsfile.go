package localrun

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/settings"
)

// Figures of the machines that the processes believe they run on.
const (
	memoryMb    = 256
	descriptors = 1024
	diskMb      = 256
	heartbeatMs = 500
	graceS      = 6
	statusS     = 120
	cloudRate   = 10
	region      = "loopback"
	tolerated   = 1 // stores that may be lost at one time
)

// baseSettings are what all processes have in common; host is where this one listens.
func baseSettings(node, zone, host string, seeds []string, platform string) *settings.Settings {
	return &settings.Settings{
		Node:            node,
		IP:              host,
		Zone:            zone,
		Region:          region,
		Zones:           map[string]string{zone: region},
		PortRange:       []int{1, 1}, // stores alone listen there
		Seeds:           seeds,
		CountsForQuorum: true,
		Limits:          settings.Limits{CPUShare: 1, Cores: 1, MemoryMb: memoryMb, MaxFds: descriptors, DiskMb: diskMb},
		HeartbeatMs:     heartbeatMs,
		FaultTolerance:  settings.FaultTolerance{Machines: tolerated},
		Bounds:          settings.Bounds{GraceS: graceS, StatusS: statusS},
		Cloud:           settings.Cloud{Address: platform, RatePerS: cloudRate},
	}
}

// writeSettings writes the settings file of a process.
func writeSettings(wanted *settings.Settings) error {
	data, err := yaml.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "write settings: report this as a defect")
	}
	return errors.Wrap(os.WriteFile(wanted.Path, data, privateFile), "write settings")
}
