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

	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	// dialTimeout is well below the second after which TCP retransmits a SYN, so that a host without power is
	// given up before a retransmission.
	dialTimeout     = 250 * time.Millisecond
	userTimeout     = DefaultSilenceTimeout
	readBufferBytes = 4 << 10
)

// SilenceTimeoutError reports that a stream carried no frame for the duration Timeout. The caller should
// reconnect, to another process if there is one.
type SilenceTimeoutError struct {
	Timeout time.Duration
}

func (e *SilenceTimeoutError) Error() string {
	return fmt.Sprintf("no frame for %v: reconnect, to another control process if there is one", e.Timeout)
}

// NotStreamingError reports that a process has refused to stream.
type NotStreamingError struct {
	Status int    // HTTP status code
	Leader string // host:port of the streaming process; empty if the refusal names none
}

func (e *NotStreamingError) Error() string {
	if e.Leader == "" {
		return fmt.Sprintf("process does not stream (status %d): try another control process", e.Status)
	}
	return fmt.Sprintf("process does not stream (status %d): connect to the leader at %s", e.Status, e.Leader)
}

// Client receives a stream. The zero value is ready for use.
type Client struct {
	HTTP           *http.Client  // nil for NewHTTPClient; it must not have an overall timeout
	SilenceTimeout time.Duration // 0 for DefaultSilenceTimeout
	MaxFrameBytes  int           // 0 for DefaultMaxFrameBytes
}

// NewHTTPClient returns an HTTP client for streams. It has a dial timeout, does not follow redirects, and closes a
// connection whose peer does not acknowledge data for DefaultSilenceTimeout, or sends what is not a valid response.
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
		Transport:     &http.Transport{DialContext: responsecheck.Dial(dial), DisableCompression: true, ReadBufferSize: readBufferBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT of a TCP connection: the time after which the connection is closed if the
// peer does not acknowledge sent data. It has no effect on other connections, and ignores errors.
func SetUserTimeout(connection net.Conn, timeout time.Duration) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	milliseconds := int(timeout / time.Millisecond)
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// Follow reads the stream at a URL and passes each frame to onFrame, including keep-alives, which are empty. It
// returns when the context ends, the stream breaks or onFrame returns an error. The returned error is never nil: a
// SilenceTimeoutError, NotStreamingError or FrameTooLargeError, the error of onFrame or of the context, or a network
// error.
func (c *Client) Follow(ctx context.Context, address string, onFrame func(frame []byte) error) error {
	timeout := c.SilenceTimeout
	if timeout == 0 {
		timeout = DefaultSilenceTimeout
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	watchdog := time.AfterFunc(timeout, func() {
		timedOut.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	err := c.follow(streamCtx, address, func(frame []byte) error {
		watchdog.Reset(timeout)
		return onFrame(frame)
	})
	if timedOut.Load() && ctx.Err() == nil {
		return &SilenceTimeoutError{Timeout: timeout}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// follow is Follow without the silence timeout.
func (c *Client) follow(ctx context.Context, address string, onFrame func([]byte) error) error {
	response, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	maxFrameBytes := c.MaxFrameBytes
	if maxFrameBytes == 0 {
		maxFrameBytes = DefaultMaxFrameBytes
	}
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	for {
		frame, err := readFrame(reader, maxFrameBytes)
		if err != nil {
			return errors.Wrap(err, "read the stream: reconnect")
		}
		if err := onFrame(frame); err != nil {
			return err
		}
	}
}

// open requests the stream. It returns a NotStreamingError for any status but 200.
func (c *Client) open(ctx context.Context, address string) (*http.Response, error) {
	client := c.HTTP
	if client == nil {
		client = NewHTTPClient()
		defer client.CloseIdleConnections()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "invalid address of the stream: correct the address")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the stream: try another control process")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, readBufferBytes)
	return nil, &NotStreamingError{Status: response.StatusCode, Leader: leaderAddress(response)}
}

// leaderAddress returns the host:port of the streaming process that a refusal names in LeaderHeader or Location, or
// an empty string if it names none.
func leaderAddress(response *http.Response) string {
	if leader := response.Header.Get(LeaderHeader); leader != "" {
		return leader
	}
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil {
		return ""
	}
	return location.Host
}
