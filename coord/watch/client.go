package watch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/atomic"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout    = 250 * time.Millisecond // a machine without power loses the opening packet, which TCP repeats after a second
	userTimeout    = DefaultSilenceTimeout
	readBufferSize = 4 << 10
)

// SilenceTimeoutError reports that a stream carried no frame for too long. The remedy is to connect anew, at
// another process if there is one.
type SilenceTimeoutError struct {
	Timeout time.Duration
}

func (e *SilenceTimeoutError) Error() string {
	return fmt.Sprintf("no frame for %v: connect anew, at another control process if there is one", e.Timeout)
}

// NotStreamingError reports a process that does not stream. Leader is the host:port to ask, empty where
// the process knows none.
type NotStreamingError struct {
	Status int
	Leader string
}

func (e *NotStreamingError) Error() string {
	if e.Leader == "" {
		return fmt.Sprintf("no stream here (status %d): ask another control process", e.Status)
	}
	return fmt.Sprintf("no stream here (status %d): ask the leader at %s", e.Status, e.Leader)
}

// Client follows a stream. The zero value is ready for use.
type Client struct {
	HTTP           *http.Client  // nil for one whose dials are bounded; it must not have an overall timeout
	SilenceTimeout time.Duration // 0 for DefaultSilenceTimeout
	MaxFrameBytes  int           // in bytes; 0 for DefaultMaxFrameBytes
}

// NewHTTPClient returns an HTTP client for streams: dials are bounded, redirects are not followed, and a
// connection whose peer falls silent ends.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			SetUserTimeout(connection, userTimeout)
		}
		return connection, err
	}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dial, DisableCompression: true, ReadBufferSize: readBufferSize},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetUserTimeout sets the time after which a TCP connection ends whose peer acknowledges nothing. Other
// connections are left as they are.
func SetUserTimeout(connection net.Conn, bound time.Duration) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	milliseconds := int(bound / time.Millisecond)
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// Follow reads the stream at an address and hands each frame to onFrame, keep-alives (empty) too, until the
// context ends, the stream breaks or onFrame returns an error. It never returns nil. Errors: SilenceTimeoutError,
// NotStreamingError, FrameTooLargeError, that of onFrame, that of the context, and those of the network.
func (c *Client) Follow(ctx context.Context, address string, onFrame func(frame []byte) error) error {
	silence := c.SilenceTimeout
	if silence == 0 {
		silence = DefaultSilenceTimeout
	}
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(silence, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	err := c.follow(following, address, func(frame []byte) error {
		watchdog.Reset(silence)
		return onFrame(frame)
	})
	if silent.Load() && ctx.Err() == nil {
		return &SilenceTimeoutError{Timeout: silence}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *Client) follow(ctx context.Context, address string, onFrame func([]byte) error) error {
	response, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	bound := c.MaxFrameBytes
	if bound == 0 {
		bound = DefaultMaxFrameBytes
	}
	reader := bufio.NewReaderSize(response.Body, readBufferSize)
	for {
		frame, err := readFrame(reader, bound)
		if err != nil {
			return errors.Wrap(err, "the stream ended: connect anew")
		}
		if err := onFrame(frame); err != nil {
			return err
		}
	}
}

func (c *Client) open(ctx context.Context, address string) (*http.Response, error) {
	client := c.HTTP
	if client == nil {
		client = NewHTTPClient()
		defer client.CloseIdleConnections()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "correct the address of the stream")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "reach the stream: try another control process")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, readBufferSize)
	return nil, &NotStreamingError{Status: response.StatusCode, Leader: leaderOf(response)}
}

// leaderOf reads the address of the streaming process from a refusal.
func leaderOf(response *http.Response) string {
	if leader := response.Header.Get(LeaderHeader); leader != "" {
		return leader
	}
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil {
		return ""
	}
	return location.Host
}
