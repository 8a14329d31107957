package localrun

import (
	"fmt"
	"path/filepath"

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
	ports, err := freePorts(controlCount + storeCount + 2*dispatcherCount)
	if err != nil {
		return nil, err
	}
	take := func() int {
		port := ports[0]
		ports = ports[1:]
		return port
	}
	var seeds []string
	for range controlCount {
		seeds = append(seeds, addressOf(take()))
	}
	d := &deployment{}
	for i := range controlCount {
		wanted := baseSettings(nodeName(roleControl, i), zoneName(i), seeds, platform)
		wanted.Listen.Control = seeds[i]
		if err := d.add(&d.controls, filepath.Join(programs, "foldlb-control"), roleControl, root, wanted); err != nil {
			return nil, err
		}
	}
	for i := range storeCount {
		wanted := baseSettings(nodeName(roleStore, i), zoneName(i), seeds, platform)
		port := take()
		wanted.PortRange = []int{port, port}
		if err := d.add(&d.stores, filepath.Join(programs, "foldlb"), roleStore, root, wanted); err != nil {
			return nil, err
		}
	}
	for i := range dispatcherCount {
		wanted := baseSettings(nodeName(roleDispatcher, i), zoneName(i), seeds, platform)
		wanted.Listen = settings.Listen{Front: addressOf(take()), Ready: addressOf(take())}
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

func nodeName(role string, index int) string { return fmt.Sprintf("%s-%d", role, index+1) }
func zoneName(index int) string              { return fmt.Sprintf("zone-%d", index+1) }
