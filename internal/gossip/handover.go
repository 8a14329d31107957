package gossip

import (
	"errors"
	"fmt"
	"net"

	"foldlb.example/foldlb/internal/hold"
)

// State is handed over to a successor, in addition to the reducer's view.
type State struct {
	Packet, Stream int // indexes of the descriptors; -1 for none
	Process        uint64
	Listen         string
}

var errNoSockets = errors.New("fleet: sockets to hand over are not a UDP socket and a TCP listener")

// Export adds the sockets to files and returns their state. This process may go on using them, since it is the same member as its
// successor. A nil Node exports no sockets.
func (n *Node) Export(files *hold.Files) (State, error) {
	if n == nil {
		return State{Packet: -1, Stream: -1}, nil
	}
	pc, okPacket := n.t.packet.(*net.UDPConn)
	ln, okStream := n.t.stream.(*net.TCPListener)
	if !okPacket || !okStream {
		return State{}, errNoSockets
	}
	packet, err := files.Add(udpFile{pc})
	if err != nil {
		return State{}, fmt.Errorf("fleet: %w", err)
	}
	stream, err := files.Add(tcpFile{ln})
	return State{Packet: packet, Stream: stream, Process: n.process, Listen: n.t.Addr().String()}, err
}

// ImportSockets returns the sockets that another process handed over.
func ImportSockets(st State, files *hold.Received) (*Sockets, error) {
	ln, err := files.Listener(st.Stream)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	pc, err := files.PacketConn(st.Packet)
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	packet, okPacket := pc.(*net.UDPConn)
	stream, okStream := ln.(*net.TCPListener)
	if !okPacket || !okStream {
		ln.Close()
		pc.Close()
		return nil, errNoSockets
	}
	return newSockets(packet, stream), nil
}
