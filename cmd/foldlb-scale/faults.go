package main

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/controlplane"
)

const (
	faultWithin = 20 * time.Second
	millisecond = float64(time.Millisecond)
)

// measureFaults kills a store, a tenth of the dispatchers, and the leader, one after the other.
func measureFaults(ctx context.Context, binaries string, wanted size) ([]fault, error) {
	running, err := startSystem(ctx, binaries, wanted)
	if err != nil {
		return nil, err
	}
	defer running.close()
	if err := running.startHollows(); err != nil {
		return nil, err
	}
	var joined point
	running.measureJoin(ctx, &joined)
	bounded, cancel := context.WithTimeout(ctx, 4*faultWithin)
	defer cancel()
	var faults []fault
	for _, strike := range []func(context.Context) (fault, error){running.loseStore, running.loseTenth, running.loseLeader} {
		struck, err := strike(bounded)
		if err != nil {
			return faults, err
		}
		faults = append(faults, struck)
	}
	return faults, nil
}

// measureZone kills at one moment what a zone holds: a third of the dispatchers, a store, and the leader.
func measureZone(ctx context.Context, binaries string, wanted size) (fault, error) {
	struck := fault{Kind: "a zone is lost: a third of the dispatchers, a store and the leader at once", Dispatchers: wanted.dispatchers, TimesMs: map[string]float64{}}
	running, err := startSystem(ctx, binaries, wanted)
	if err != nil {
		return struck, err
	}
	defer running.close()
	if err := running.startHollows(); err != nil {
		return struck, err
	}
	var joined point
	running.measureJoin(ctx, &joined)
	bounded, cancel := context.WithTimeout(ctx, 2*faultWithin)
	defer cancel()
	err = running.loseZone(bounded, &struck)
	return struck, err
}

// loseZone kills, then waits for another leader, a change at all that are left, and new owners.
func (s *system) loseZone(ctx context.Context, struck *fault) error {
	leader, err := s.awaitStatus(ctx, func(*controlplane.Status) bool { return true })
	if err != nil {
		return err
	}
	victim := s.hosts[1]
	left := s.size.dispatchers - victim.members
	struck.Killed = victim.members
	at := now()
	s.stores[1].kill()
	victim.kill()
	s.killControl(leader.Address)
	if _, err := s.awaitStatus(ctx, func(status *controlplane.Status) bool { return status.Address != leader.Address }); err != nil {
		return err
	}
	struck.TimesMs["another leads"] = milliseconds(at, now())
	version, _, _, err := s.operator.change(ctx)
	if err != nil {
		return err
	}
	last, reached := s.awaitConfig(ctx, version, left)
	struck.TimesMs["a change is in force at the last hollow dispatcher left"] = milliseconds(at, last)
	struck.TimesMs["hollow dispatchers reached, count"] = float64(reached)
	status, err := s.awaitStatus(ctx, func(status *controlplane.Status) bool { return status.Partitions["store-1"] == 0 })
	if err != nil {
		return err
	}
	struck.TimesMs["partitions moved, as the leader says"] = milliseconds(at, now())
	last, err = s.awaitTable(ctx, status.MapVersion, left)
	struck.TimesMs["new owners known at the last hollow dispatcher"] = milliseconds(at, last)
	return err
}

// killControl kills the control process at an address.
func (s *system) killControl(address string) {
	for index, seed := range s.seeds {
		if seed == address {
			s.controls[index].kill()
		}
	}
}

// milliseconds from a moment to another.
func milliseconds(from, to moment) float64 { return round(float64(to.since(from)) / millisecond) }

// loseStore kills a store and waits until its partitions have other owners everywhere.
func (s *system) loseStore(ctx context.Context) (fault, error) {
	struck := fault{Kind: "a store is killed and stays away", Dispatchers: s.size.dispatchers, Killed: 1, TimesMs: map[string]float64{}}
	before := s.takeovers() - s.takeoversOf(0)
	at := now()
	s.stores[0].kill()
	status, err := s.awaitStatus(ctx, func(status *controlplane.Status) bool { return status.Partitions["store-0"] == 0 })
	if err != nil {
		return struck, err
	}
	struck.TimesMs["partitions moved, as the leader says"] = milliseconds(at, now())
	if s.awaitTakeovers(ctx, before, storeCount-1) {
		struck.TimesMs["partitions ready at all new owners, nothing queued"] = milliseconds(at, now())
	}
	last, err := s.awaitTable(ctx, status.MapVersion, s.size.dispatchers)
	if err != nil {
		return struck, err
	}
	struck.TimesMs["new owners known at the last hollow dispatcher"] = milliseconds(at, last)
	return struck, nil
}

// awaitTable waits until a table, or a newer one, is in force at so many hollow dispatchers, and returns when the last
// of them had it.
func (s *system) awaitTable(ctx context.Context, version uint64, count int) (moment, error) {
	for {
		for known, moments := range s.reports(ctx).Arrivals.Tables {
			if known >= version && len(moments) >= count {
				return latest(moments), nil
			}
		}
		if err := pause(ctx, pollGap); err != nil {
			return 0, err
		}
	}
}

func latest(moments []moment) moment {
	last := moment(0)
	for _, at := range moments {
		last = max(last, at)
	}
	return last
}

// loseTenth kills the process with a tenth of the hollow dispatchers, and sees that a change reaches the others.
func (s *system) loseTenth(ctx context.Context) (fault, error) {
	victim := s.hosts[0]
	left := s.size.dispatchers - victim.members
	struck := fault{Kind: "a tenth of the dispatchers is killed at once", Dispatchers: s.size.dispatchers, Killed: victim.members, TimesMs: map[string]float64{}}
	before := streams(s.operator.leader(ctx))
	at := now()
	victim.kill()
	_, err := s.awaitStatus(ctx, func(status *controlplane.Status) bool { return status.Streams <= before-victim.members })
	if err != nil {
		return struck, err
	}
	struck.TimesMs["their streams have ended at the leader"] = milliseconds(at, now())
	_, err = s.awaitStatus(ctx, func(status *controlplane.Status) bool { return silentDispatchers(status) >= victim.members })
	if err != nil {
		return struck, err
	}
	struck.TimesMs["their leases have ended"] = milliseconds(at, now())
	if struck.After, err = s.changeOnce(ctx, left); err != nil {
		return struck, err
	}
	processes := s.processes(ctx)
	earlier := takeSnapshot(processes)
	if err := pause(ctx, steadyWindow); err != nil {
		return struck, err
	}
	struck.Steady = takeSnapshot(processes).usageSince(earlier, 0)
	report := s.reports(ctx)
	struck.TimesMs["leases valid at the others, count"] = float64(report.Leases)
	return struck, nil
}

// silentDispatchers counts those that have not renewed for the length of a lease.
func silentDispatchers(status *controlplane.Status) int {
	count := 0
	for _, dispatcher := range status.Dispatchers {
		if dispatcher.AgeMs > relayLeaseMs {
			count++
		}
	}
	return count
}

// changeOnce has one configuration taken and waits for it at so many hollow dispatchers.
func (s *system) changeOnce(ctx context.Context, count int) (*spread, error) {
	version, sent, _, err := s.operator.change(ctx)
	if err != nil {
		return nil, err
	}
	limit := now()
	for now().since(limit) < listWithin {
		if len(s.reports(ctx).Arrivals.Configs[version]) >= count {
			break
		}
		if err := pause(ctx, pollGap); err != nil {
			return nil, err
		}
	}
	return spreadOf(map[uint64]moment{version: sent}, s.reports(ctx).Arrivals.Configs, count), nil
}

// loseLeader kills the control process that leads, and waits until all follow the next one.
func (s *system) loseLeader(ctx context.Context) (fault, error) {
	count := s.size.dispatchers - s.hosts[0].members
	struck := fault{Kind: "the leader is killed", Dispatchers: count, Killed: 1, TimesMs: map[string]float64{}}
	leader, err := s.awaitStatus(ctx, func(*controlplane.Status) bool { return true })
	if err != nil {
		return struck, err
	}
	at := now()
	s.killControl(leader.Address)
	_, err = s.awaitStatus(ctx, func(status *controlplane.Status) bool { return status.Address != leader.Address })
	if err != nil {
		return struck, err
	}
	struck.TimesMs["another leads"] = milliseconds(at, now())
	version, _, acknowledged, err := s.operator.change(ctx)
	if err != nil {
		return struck, err
	}
	struck.TimesMs["a change is acknowledged"] = milliseconds(at, acknowledged)
	last, reached := s.awaitConfig(ctx, version, count)
	struck.TimesMs["the change is in force at the last hollow dispatcher"] = milliseconds(at, last)
	struck.TimesMs["hollow dispatchers reached, count"] = float64(reached)
	return struck, nil
}

// awaitConfig waits until a version is in force at so many, and returns when the last had it and how many have it.
func (s *system) awaitConfig(ctx context.Context, version uint64, count int) (moment, int) {
	limit := now()
	for {
		moments := s.reports(ctx).Arrivals.Configs[version]
		if len(moments) >= count || now().since(limit) > listWithin || pause(ctx, pollGap) != nil {
			return latest(moments), len(moments)
		}
	}
}
