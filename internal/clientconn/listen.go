package clientconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// ListenTimeout is for how long a new process waits for its address, where another one still holds it: one that was killed an instant ago, or is
// about to end. Well under the 10 s within which a restarted dispatcher has to be ready.
const ListenTimeout = 6 * time.Second

const listenPause = 20 * time.Millisecond // between tries; the kernel tells nobody when an address becomes free

// Listen opens the listener for callers. An address in use is tried again for as long as most; any other error, and that one then, is returned.
func Listen(ctx context.Context, addr string, most time.Duration, log logrus.FieldLogger) (net.Listener, error) {
	ctx, end := context.WithTimeout(ctx, most)
	defer end()
	t := time.NewTicker(listenPause)
	defer t.Stop()
	var lc net.ListenConfig
	for waits := false; ; waits = true {
		ln, err := lc.Listen(context.Background(), "tcp", addr)
		if err == nil {
			return ln, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("listen: %w", err)
		}
		if !waits {
			log.WithError(err).Warn("waiting for the address")
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("listen: %w after %v", err, most)
		case <-t.C:
		}
	}
}
