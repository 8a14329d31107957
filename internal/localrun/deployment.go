package localrun

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/settings"
)

const (
	controlCount    = 3
	storeCount      = 4
	dispatcherCount = 3

	roleControl    = "control"
	roleStore      = "store"
	roleDispatcher = "dispatcher"
)

// deployment is all processes of the service.
type deployment struct {
	controls    []*process
	stores      []*process
	dispatchers []*process
}

// newDeployment prepares the processes: programs are the binaries' folder, root is for settings, logs and data.
func newDeployment(programs, root, platform string) (*deployment, error) {
	controlAddresses, err := unusedAddresses(controlCount)
	if err != nil {
		return nil, err
	}
	storeAddresses, err := unusedAddresses(storeCount)
	if err != nil {
		return nil, err
	}
	frontAddresses, err := unusedAddresses(dispatcherCount)
	if err != nil {
		return nil, err
	}
	readyAddresses, err := unusedAddresses(dispatcherCount)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, address := range controlAddresses {
		seeds = append(seeds, address.String())
	}
	d := &deployment{}
	for i, address := range controlAddresses {
		wanted := baseSettings(nodeName(roleControl, i), zoneName(i), address.Addr().String(), seeds, platform)
		wanted.Listen.Control = address.String()
		if err := d.add(&d.controls, filepath.Join(programs, "foldlb-control"), roleControl, root, wanted); err != nil {
			return nil, err
		}
	}
	for i, address := range storeAddresses {
		wanted := baseSettings(nodeName(roleStore, i), zoneName(i), address.Addr().String(), seeds, platform)
		port := int(address.Port())
		wanted.PortRange = []int{port, port}
		if err := d.add(&d.stores, filepath.Join(programs, "foldlb"), roleStore, root, wanted); err != nil {
			return nil, err
		}
	}
	for i, address := range frontAddresses {
		wanted := baseSettings(nodeName(roleDispatcher, i), zoneName(i), address.Addr().String(), seeds, platform)
		wanted.Listen = settings.Listen{Front: address.String(), Ready: readyAddresses[i].String()}
		if err := d.add(&d.dispatchers, filepath.Join(programs, "foldlb"), roleDispatcher, root, wanted); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) add(to *[]*process, program, role, root string, wanted *settings.Settings) error {
	one, err := newProcess(program, role, root, wanted)
	if err != nil {
		return err
	}
	*to = append(*to, one)
	return nil
}

// all returns the processes in the order of their start.
func (d *deployment) all() []*process {
	var every []*process
	every = append(every, d.controls...)
	every = append(every, d.stores...)
	return append(every, d.dispatchers...)
}

func (d *deployment) start() error {
	for _, one := range d.all() {
		if err := one.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) kill() {
	for _, one := range d.all() {
		one.kill()
	}
}

// fault is the error of the first process that ended by itself, or nil.
func (d *deployment) fault() error {
	for _, one := range d.all() {
		if err := one.fault(); err != nil {
			return err
		}
	}
	return nil
}

// unusedAddresses finds addresses for processes that are started later.
func unusedAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		address, err := loopback.Unused()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func nodeName(role string, index int) string { return fmt.Sprintf("%s-%d", role, index+1) }
func zoneName(index int) string              { return fmt.Sprintf("zone-%d", index+1) }
