package main

import (
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"foldlb.example/foldlb/internal/settings"
)

// settingsPeriod is the time between two looks at the settings file, which may change without a signal.
const settingsPeriod = 2 * time.Second

// fileMark tells whether a file was written anew.
type fileMark struct {
	modified time.Time
	size     int64
}

func markOf(path string) fileMark {
	info, err := os.Stat(path)
	if err != nil {
		return fileMark{}
	}
	return fileMark{modified: info.ModTime(), size: info.Size()}
}

// watchSettings reads the settings anew when their file has changed or a signal comes, until the context ends.
// Settings that can't be read are left out: those in force stay.
func watchSettings(ctx context.Context, path string, reloads <-chan os.Signal, take func(*settings.Settings), log logr.Logger) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := markOf(path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			forced = true
		case <-ticker.C:
		}
		mark := markOf(path)
		if !forced && mark == last {
			continue
		}
		last = mark
		loaded, err := settings.Load(path)
		if err != nil {
			log.Error(err, "the settings in force stay: correct the file")
			continue
		}
		take(loaded)
	}
}
