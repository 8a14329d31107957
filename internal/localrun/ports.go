package localrun

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const loopback = "127.0.0.1"

// freePorts finds so many different ports of loopback that nobody listens on.
func freePorts(count int) ([]int, error) {
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	ports := make([]int, 0, count)
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(loopback, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "find a free port: end programs that hold many")
		}
		listeners = append(listeners, listener)
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func addressOf(port int) string {
	return net.JoinHostPort(loopback, strconv.Itoa(port))
}
