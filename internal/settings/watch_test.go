package settings

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const watchPatience = 10 * time.Second

func TestSettingsAreReadAnewAfterAHangup(t *testing.T) {
	hangups, reloads := make(chan os.Signal), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, write(t, valid), hangups, func() { reloads <- struct{}{} })
	}()
	for range 2 { // the file stays as it was
		hangups <- os.Interrupt
		<-reloads
	}
	cancel()
	<-ended
}

func TestSettingsAreReadAnewOnceTheirFileHasChanged(t *testing.T) {
	path := write(t, valid)
	hangups, reloads := make(chan os.Signal), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, path, hangups, func() { reloads <- struct{}{} })
	}()
	hangups <- os.Interrupt // taken once the file has been looked at
	<-reloads
	must.NoError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	select {
	case <-reloads:
	case <-time.After(watchPatience):
		t.Fatal("the file was not read anew")
	}
	cancel()
	<-ended
}
