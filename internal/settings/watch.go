package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchPeriod is the time between two looks at the settings file, which may change without a signal.
const watchPeriod = 2 * time.Second

// Hangups returns a channel that tells of SIGHUP from now on; without one, the signal ends the process. The function ends that.
func NotifyHangup() (hangups <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// Watch calls reload when the settings file at path has changed or a hangup comes, until the context ends. An empty path names no file.
func Watch(ctx context.Context, path string, hangups <-chan os.Signal, reload func()) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	last := markOf(path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			forced = true
		case <-ticker.C:
		}
		mark := markOf(path)
		if path != "" && (forced || mark != last) {
			last = mark
			reload()
		}
	}
}

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
