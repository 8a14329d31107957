package gossip

import (
	"errors"
	"fmt"
	"net"

	"foldlb.example/foldlb/internal/hold"
)

// State is what passes to a successor beside the reducer's view.
type State struct {
	Packet, Stream int // places of the descriptors; -1 for none
	Process        uint64
	Listen         string
}

var errNoSockets = errors.New("fleet: what is to be handed over are no sockets of a member")

// Export lists the sockets. They need not be held still: what this process still reads or answers comes from the same member.
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

// Take makes sockets of those that another process handed over.
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
	return socketsOf(packet, stream), nil
}
