package settings

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const reloadTimeout = 10 * time.Second

func TestReloadAfterHangup(t *testing.T) {
	hangups, reloads := make(chan os.Signal), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, write(t, valid), hangups, func() { reloads <- struct{}{} })
	}()
	for range 2 { // the file doesn't change
		hangups <- os.Interrupt
		<-reloads
	}
	cancel()
	<-ended
}

func TestReloadAfterFileChange(t *testing.T) {
	path := write(t, valid)
	hangups, reloads := make(chan os.Signal), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, path, hangups, func() { reloads <- struct{}{} })
	}()
	hangups <- os.Interrupt // received only after Watch has read the initial state of the file
	<-reloads
	must.NoError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	select {
	case <-reloads:
	case <-time.After(reloadTimeout):
		t.Fatal("no reload after the file changed")
	}
	cancel()
	<-ended
}
