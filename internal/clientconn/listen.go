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

// ListenTimeout is how long a new process waits for its address while another process holds it that was just killed or
// is about to exit. It is well below the 10 s within which a restarted dispatcher has to be ready.
const ListenTimeout = 6 * time.Second

const listenRetryInterval = 20 * time.Millisecond // between attempts: the kernel doesn't notify when an address becomes free

// Listen opens a TCP listener on addr. While the address is in use it retries until limit has passed or ctx ends, and
// then returns that error; any other error is returned at once.
func Listen(ctx context.Context, addr string, limit time.Duration, log logrus.FieldLogger) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(listenRetryInterval)
	defer t.Stop()
	var lc net.ListenConfig
	for waiting := false; ; waiting = true {
		ln, err := lc.Listen(context.Background(), "tcp", addr)
		if err == nil {
			return ln, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("listen: %w", err)
		}
		if !waiting {
			log.WithError(err).Warn("address in use, waiting for it to become free")
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("listen: %w after %v", err, limit)
		case <-t.C:
		}
	}
}
