package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/controlplane"
	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/settings"
)

// Roles by which figures are summed.
const (
	roleLeader     = "control leader"
	roleStandby    = "control standby"
	roleStore      = "store"
	roleDispatcher = "dispatcher"
	roleHollow     = "hollow dispatcher"
	roleRelay      = "relay"
)

const (
	controlCount     = 3
	storeCount       = 4
	mostInHost       = 300 // hollow dispatchers of one process
	heartbeatMs      = 1200
	roleMemoryMb     = 284
	storeDiskMb      = 360
	readyWithin      = 30 * time.Second
	pollGap          = 50 * time.Millisecond
	loopback         = "127.0.0.1"
	filePermissions  = 0o644
	folderPermission = 0o755
)

// zoneNames are the zones of the machines.
var zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// size is what a system is started with.
type size struct {
	dispatchers  int // hollow ones
	destinations int
	routes       int
	relays       int
	realOnes     int // real dispatchers
	memoryMb     int // bound of the roles; 0 for that of the sites
	cloudRate    float64
	endpoint     string // address of the stand-in worker; empty for none
}

// system is a running deployment on loopback.
type system struct {
	size      size
	folder    string
	binaries  string
	self      string // path of this program
	platform  *platform
	operator  *operator
	controls  []*process
	stores    []*process
	others    []*process // real dispatchers
	relays    []*process
	hosts     []*host
	seeds     []string
	fronts    []string // addresses of the real dispatchers
	relayed   []string // addresses of relays
	startedAt moment
}

// host is a process with hollow dispatchers.
type host struct {
	*process
	address string
}

// startSystem starts control, stores and real dispatchers, and has a first configuration taken.
func startSystem(ctx context.Context, binaries string, wanted size) (*system, error) {
	folder, err := os.MkdirTemp("", "foldlb-scale-")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder for the run")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find this program")
	}
	started := &system{size: wanted, folder: folder, binaries: binaries, self: self}
	if started.platform, err = startPlatform(wanted.destinations); err != nil {
		return nil, err
	}
	if err := started.startRoles(ctx); err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

// startRoles starts the real processes.
func (s *system) startRoles(ctx context.Context) error {
	for range controlCount {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		s.seeds = append(s.seeds, address)
	}
	s.operator = newOperator(s.seeds, s.size.routes)
	s.operator.endpoint = s.size.endpoint
	for index := range controlCount {
		if err := s.startControl(index); err != nil {
			return err
		}
	}
	for index := range storeCount {
		if err := s.startStore(index); err != nil {
			return err
		}
	}
	for index := range s.size.realOnes {
		if err := s.startDispatcher(index); err != nil {
			return err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	_, _, _, err := s.operator.change(bounded)
	if err != nil {
		return err
	}
	return s.awaitOwners(bounded)
}

// awaitOwners waits until every partition has an owner.
func (s *system) awaitOwners(ctx context.Context) error {
	_, err := s.awaitStatus(ctx, func(status *controlplane.Status) bool {
		owned := 0
		for node, count := range status.Partitions {
			if node != "" {
				owned += count
			}
		}
		return len(status.Stores) == storeCount && owned > 0 && status.Partitions[""] == 0
	})
	return err
}

// awaitStatus polls the leader until its state is as wanted.
func (s *system) awaitStatus(ctx context.Context, wanted func(*controlplane.Status) bool) (*controlplane.Status, error) {
	for {
		if status := s.operator.leader(ctx); status != nil && wanted(status) {
			return status, nil
		}
		if err := pause(ctx, pollGap); err != nil {
			return nil, errors.Wrap(err, "the system didn't come to the state awaited: see its logs in "+s.folder)
		}
	}
}

// base are the settings that all processes share.
func (s *system) base(node string, index int) settings.Settings {
	memory := s.size.memoryMb
	if memory == 0 {
		memory = roleMemoryMb
	}
	return settings.Settings{
		Node:           node,
		IP:             loopback,
		Zone:           zoneNames[index%len(zoneNames)],
		Region:         "region",
		Seeds:          s.seeds,
		Bootstrap:      true,
		HeartbeatMs:    heartbeatMs,
		Limits:         settings.Limits{CPUShare: 0.7, Cores: 1, MemoryMb: memory, MaxFds: 8200, LinkMbps: 1000, DiskMb: storeDiskMb},
		FaultTolerance: settings.FaultTolerance{Machines: 1},
		PortRange:      []int{1, 1},
	}
}

func (s *system) startControl(index int) error {
	name := fmt.Sprintf("control-%d", index)
	wanted := s.base(name, index)
	wanted.Role, wanted.Listen.Control = "control", s.seeds[index]
	wanted.DataDir = filepath.Join(s.folder, name)
	wanted.Cloud = settings.Cloud{Address: s.platform.address(), RatePerS: s.size.cloudRate}
	started, err := s.startRole(name, roleStandby, "foldlb-control", "control", wanted)
	s.controls = append(s.controls, started)
	return err
}

func (s *system) startStore(index int) error {
	name := fmt.Sprintf("store-%d", index)
	wanted := s.base(name, index)
	port, err := freePort()
	if err != nil {
		return err
	}
	wanted.Role, wanted.PortRange = "store", []int{port, port}
	wanted.DataDir = filepath.Join(s.folder, name)
	started, err := s.startRole(name, roleStore, "foldlb", "store", wanted)
	s.stores = append(s.stores, started)
	return err
}

func (s *system) startDispatcher(index int) error {
	name := fmt.Sprintf("dispatcher-%d", index)
	wanted := s.base(name, index)
	var err error
	if wanted.Listen.Front, err = freeAddress(); err != nil {
		return err
	}
	if wanted.Listen.Ready, err = freeAddress(); err != nil {
		return err
	}
	s.fronts = append(s.fronts, wanted.Listen.Front)
	wanted.Role = "dispatcher"
	started, err := s.startRole(name, roleDispatcher, "foldlb", "dispatcher", wanted)
	s.others = append(s.others, started)
	return err
}

// startRole writes the settings of a process and starts it.
func (s *system) startRole(name, role, program, subcommand string, wanted settings.Settings) (*process, error) {
	if wanted.DataDir != "" {
		if err := os.MkdirAll(wanted.DataDir, folderPermission); err != nil {
			return nil, errors.Wrap(err, "create a data folder")
		}
	}
	path, err := s.writeSettings(name, wanted)
	if err != nil {
		return nil, err
	}
	return startProcess(s.folder, name, role, []string{"FOLDLB_SETTINGS=" + path}, filepath.Join(s.binaries, program), subcommand)
}

func (s *system) writeSettings(name string, wanted settings.Settings) (string, error) {
	encoded, err := yaml.Marshal(wanted)
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(s.folder, name+".yaml")
	return path, errors.Wrap(os.WriteFile(path, encoded, filePermissions), "write settings")
}

// startHollows starts hosts for hollow dispatchers; the first holds a tenth of them, so that it can be killed.
func (s *system) startHollows() error {
	s.startedAt = now()
	left, first := s.size.dispatchers, 0
	if left == 0 {
		return nil
	}
	for count := max(1, left/10); left > 0; count = min(mostInHost, left) {
		if err := s.startHost(first, count); err != nil {
			return err
		}
		first += count
		left -= count
	}
	return nil
}

// startHost starts one process with hollow dispatchers.
func (s *system) startHost(first, count int) error {
	name := fmt.Sprintf("host-%d", len(s.hosts))
	address, err := freeAddress()
	if err != nil {
		return err
	}
	wanted := s.base(name, 0)
	if len(s.relayed) > 0 {
		wanted.Seeds = []string{s.relayed[len(s.hosts)%len(s.relayed)]}
	}
	path, err := s.writeSettings(name, wanted)
	if err != nil {
		return err
	}
	started, err := startProcess(s.folder, name, roleHollow, nil, s.self, "host", "--settings", path, "--listen", address,
		"--first", fmt.Sprint(first), "--count", fmt.Sprint(count))
	if err != nil {
		return err
	}
	started.members = count
	s.hosts = append(s.hosts, &host{process: started, address: address})
	return nil
}

// startRelays starts relays in front of the leader.
func (s *system) startRelays(ctx context.Context, count int) error {
	leader, err := s.awaitStatus(ctx, func(*controlplane.Status) bool { return true })
	if err != nil {
		return err
	}
	for index := range count {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		started, err := startProcess(s.folder, fmt.Sprintf("relay-%d", index), roleRelay, nil, s.self, "relay",
			"--leader", leader.Address, "--listen", address)
		if err != nil {
			return err
		}
		s.relays = append(s.relays, started)
		s.relayed = append(s.relayed, address)
	}
	return nil
}

// reportClient calls hosts. A call lasts as long as its context allows.
var reportClient = responsecheck.NewClient(0)

// report asks a host what its hollow dispatchers hold.
func (h *host) report(ctx context.Context) (*hostReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address, nil)
	if err != nil {
		return nil, err
	}
	response, err := reportClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	report := &hostReport{}
	return report, responsecheck.DecodeJSON(response.Body, report)
}

// reports adds up what the hosts that are alive tell.
func (s *system) reports(ctx context.Context) *hostReport {
	sum := &hostReport{Held: map[uint64]int{}, Lists: map[uint64]int{}, Arrivals: newArrivals()}
	for _, each := range s.hosts {
		if !each.alive() {
			continue
		}
		report, err := each.report(ctx)
		if err != nil {
			continue // it is still starting
		}
		sum.add(report)
	}
	return sum
}

func (r *hostReport) add(other *hostReport) {
	r.Leases += other.Leases
	for version, count := range other.Held {
		r.Held[version] += count
	}
	for version, count := range other.Lists {
		r.Lists[version] += count
	}
	addMoments(r.Arrivals.Configs, other.Arrivals.Configs)
	addMoments(r.Arrivals.Lists, other.Arrivals.Lists)
	addMoments(r.Arrivals.Tables, other.Arrivals.Tables)
}

func addMoments(sum, other map[uint64][]moment) {
	for version, moments := range other {
		sum[version] = append(sum[version], moments...)
	}
}

// processes lists all that are alive, with the control process that leads under its own role.
func (s *system) processes(ctx context.Context) []*process {
	leader := s.operator.leader(ctx)
	for index, each := range s.controls {
		each.role = roleStandby
		if leader != nil && s.seeds[index] == leader.Address {
			each.role = roleLeader
		}
	}
	all := append([]*process{}, s.controls...)
	all = append(append(append(all, s.stores...), s.others...), s.relays...)
	for _, each := range s.hosts {
		all = append(all, each.process)
	}
	return all
}

// close ends all processes and removes the folder.
func (s *system) close() {
	for _, each := range s.hosts {
		each.kill()
	}
	for _, group := range [][]*process{s.relays, s.others, s.stores, s.controls} {
		for _, each := range group {
			if each != nil {
				each.kill()
			}
		}
	}
	s.platform.close()
	if os.Getenv("FOLDLB_SCALE_KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}
