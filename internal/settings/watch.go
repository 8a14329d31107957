package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the time between two checks of the settings file, which may change without a signal.
const pollInterval = 2 * time.Second

// NotifyHangup returns a channel that receives SIGHUP, and a function that stops the notification. Without it, the signal terminates the
// process.
func NotifyHangup() (hangups <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// Watch calls reload when the settings file at path has changed or a hangup signal is received, until ctx is done. With an empty path it
// never calls reload.
func Watch(ctx context.Context, path string, hangups <-chan os.Signal, reload func()) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := stampOf(path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			forced = true
		case <-ticker.C:
		}
		mark := stampOf(path)
		if path != "" && (forced || mark != last) {
			last = mark
			reload()
		}
	}
}

// fileStamp is compared to detect that a file was rewritten. It is zero if the file can't be read.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}
