package cluster

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"foldlb.example/foldlb/internal/settings"
)

// fileMark tells whether a file has changed.
type fileMark struct {
	modified time.Time
	size     int64
}

// reloadLoop reads the settings file again on SIGHUP and when the file has changed. Only the seeds are taken
// into use at once; the others are had from Settings.
func (c *Client) reloadLoop(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	mark := markOf(c.options.Settings.Path)
	for {
		force := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			force = true
		case <-ticker.C:
		}
		if now := markOf(c.options.Settings.Path); force || now != mark {
			mark = now
			c.reload()
		}
	}
}

// reload reads the settings file. A file that is not valid, perhaps half written, leaves all as it was.
func (c *Client) reload() {
	path := c.options.Settings.Path
	if path == "" {
		return
	}
	loaded, err := settings.Load(path)
	if err != nil {
		c.options.Log.Error(err, "settings stay as they were")
		return
	}
	c.settings.Store(loaded)
	c.book.learn(loaded.Seeds)
}

func markOf(path string) fileMark {
	info, err := os.Stat(path)
	if err != nil {
		return fileMark{}
	}
	return fileMark{modified: info.ModTime(), size: info.Size()}
}
