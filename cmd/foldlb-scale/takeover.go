package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	"foldlb.example/foldlb/internal/controlplane"
)

// takenOver is what a store logs once partitions that it was given are ready.
const takenOver = "partitions taken over"

// takeovers counts how often the stores that are alive have made partitions ready.
func (s *system) takeovers() int {
	count := 0
	for index, store := range s.stores {
		if store.alive() {
			count += s.takeoversOf(index)
		}
	}
	return count
}

// awaitTakeovers waits until so many more were made, and reports whether they were in time.
func (s *system) awaitTakeovers(ctx context.Context, before, more int) bool {
	limit := now()
	for s.takeovers() < before+more {
		if now().since(limit) > faultWithin || pause(ctx, pollGap) != nil {
			return false
		}
	}
	return true
}

// measureTwoStores kills two of four stores at once while one may be lost, as the loss of a zone with two stores does.
func measureTwoStores(ctx context.Context, binaries string, wanted size) (fault, error) {
	struck := fault{Kind: "two of four stores are killed at once, where one may be lost", Dispatchers: wanted.dispatchers, Killed: 2, TimesMs: map[string]float64{}}
	running, err := startSystem(ctx, binaries, wanted)
	if err != nil {
		return struck, err
	}
	defer running.close()
	if err := pause(ctx, trafficDrain); err != nil { // the first takeovers
		return struck, err
	}
	before := running.takeovers() - running.takeoversOf(0) - running.takeoversOf(1)
	at := now()
	running.stores[0].kill()
	running.stores[1].kill()
	bounded, cancel := context.WithTimeout(ctx, 2*faultWithin)
	defer cancel()
	_, err = running.awaitStatus(bounded, func(status *controlplane.Status) bool {
		return status.Partitions["store-0"]+status.Partitions["store-1"] == 0
	})
	if err != nil {
		return struck, err
	}
	struck.TimesMs["partitions moved, as the leader says"] = milliseconds(at, now())
	if running.awaitTakeovers(bounded, before, 1) {
		struck.TimesMs["first partitions ready at a new owner"] = milliseconds(at, now())
	} else {
		struck.TimesMs["no partition ready at a new owner within"] = milliseconds(at, now())
	}
	return struck, nil
}

// takeoversOf counts those of one store.
func (s *system) takeoversOf(index int) int {
	logged, err := os.ReadFile(filepath.Join(s.folder, s.stores[index].name+".log"))
	if err != nil {
		return 0 // a log that can't be read tells of no takeover
	}
	return bytes.Count(logged, []byte(takenOver))
}
