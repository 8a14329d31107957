// Package loopback finds free loopback addresses for processes that are started later, such as those of tests and of a local run.
package loopback

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	network     = 127 << 24  // 127.0.0.0/8
	lowestHost  = 1 << 16    // above 127.0.0.0/16, where programs listen by default and the kernel assigns ephemeral ports
	highestHost = 0xfe_ff_ff // below the broadcast address
)

// Host returns an address of 127.0.0.0/8, chosen at random from 16 million, that other programs hardly ever use, so that a free port of
// it stays free. A port of 127.0.0.1 may be assigned to any connection before the process that is to listen there has started.
func Host() netip.Addr {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], network|lowestHost+rand.Uint32N(highestHost-lowestHost))
	return netip.AddrFrom4(address)
}

// Listen listens on a free port of a new Host. The port can be closed and opened again. It returns an error if no port is free.
func Listen() (net.Listener, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(Host(), 0)))
	return listener, errors.Wrap(err, "find a free loopback port: end programs that hold many")
}

// Unused returns an address of a new Host that no process listens on. It returns an error if no port is free.
func Unused() (netip.AddrPort, error) {
	listener, err := Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}
