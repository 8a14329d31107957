package settings

import (
	"fmt"
	"net"
	"strconv"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"
)

const maxPort = 65535

var (
	required     = validation.Required.Error("missing: set it in the settings file")
	hostPort     = validation.By(checkHostPort)
	notNegative  = validation.Min(0.0).Error("must be 0 or more")
	notNegativeN = validation.Min(0).Error("must be 0 or more")
	ipv4         = validation.By(checkIPv4)
	ports        = validation.By(checkPorts)
)

// Validate returns a *ValidationError that lists all invalid keys, or nil.
func (s *Settings) Validate() error {
	faults := validation.Errors{
		"node":                    validation.Validate(s.Node, required),
		"zone":                    validation.Validate(s.Zone, required),
		"ip":                      validation.Validate(s.IP, required, ipv4),
		"listen.front":            validation.Validate(s.Listen.Front, hostPort),
		"listen.ready":            validation.Validate(s.Listen.Ready, hostPort),
		"listen.control":          validation.Validate(s.Listen.Control, hostPort),
		"portRange":               validation.Validate(s.PortRange, ports),
		"limits.memoryMb":         validation.Validate(s.Limits.MemoryMb, notNegativeN),
		"limits.maxFds":           validation.Validate(s.Limits.MaxFds, notNegativeN),
		"limits.cpuShare":         validation.Validate(s.Limits.CPUShare, notNegative),
		"heartbeatMs":             validation.Validate(s.HeartbeatMs, notNegativeN),
		"faultTolerance.machines": validation.Validate(s.FaultTolerance.Machines, notNegativeN),
		"faultTolerance.zones":    validation.Validate(s.FaultTolerance.Zones, notNegativeN),
		"faultTolerance.regions":  validation.Validate(s.FaultTolerance.Regions, notNegativeN),
		"bounds.graceS":           validation.Validate(s.Bounds.GraceS, notNegative),
		"cloud.address":           validation.Validate(s.Cloud.Address, hostPort),
		"cloud.ratePerS":          validation.Validate(s.Cloud.RatePerS, notNegative),
	}
	for i, seed := range s.Seeds {
		faults[fmt.Sprintf("seeds[%d]", i)] = validation.Validate(seed, required, hostPort)
	}
	return asError(faults)
}

// asError returns the faults that aren't nil as a *ValidationError, or nil if there are none.
func asError(faults validation.Errors) error {
	found := validation.Errors{}
	for key, fault := range faults {
		if fault != nil {
			found[key] = fault
		}
	}
	if len(found) == 0 {
		return nil
	}
	return &ValidationError{Faults: found}
}

// checkHostPort accepts an empty value, or host:port with a port from 1 to maxPort.
func checkHostPort(value any) error {
	address, _ := value.(string)
	if address == "" {
		return nil
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("%q must have the form host:port", address)
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > maxPort {
		return errors.Errorf("%q must end in a port from 1 to %d", address, maxPort)
	}
	return nil
}

func checkIPv4(value any) error {
	text, _ := value.(string)
	if ip := net.ParseIP(text); ip == nil || ip.To4() == nil {
		return errors.Errorf("%q must be an IPv4 address", text)
	}
	return nil
}

// checkPorts accepts a first and a last port in ascending order.
func checkPorts(value any) error {
	list, _ := value.([]int)
	if len(list) != 2 {
		return errors.New("must list the first and the last port")
	}
	if list[0] < 1 || list[1] > maxPort || list[0] > list[1] {
		return errors.Errorf("must be two ports from 1 to %d in ascending order", maxPort)
	}
	return nil
}
