package peer

import (
	"net"
	"sync/atomic"
)

// Counters are the bytes and packets that a node moved, as UDP payload. IP and
// UDP headers add 28 bytes to each packet over IPv4.
type Counters struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

// countingSocket counts what passes a UDP socket. It hides the socket's other
// methods on purpose: quic-go would bypass the counters through them.
type countingSocket struct {
	net.PacketConn
	udp                          *net.UDPConn
	sentBytes, receivedBytes     atomic.Uint64
	sentPackets, receivedPackets atomic.Uint64
}

// ReadFrom implements net.PacketConn.
func (s *countingSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, address, err := s.PacketConn.ReadFrom(p)
	if err == nil {
		s.receivedBytes.Add(uint64(n))
		s.receivedPackets.Add(1)
	}
	return n, address, err
}

// WriteTo implements net.PacketConn.
func (s *countingSocket) WriteTo(p []byte, address net.Addr) (int, error) {
	n, err := s.PacketConn.WriteTo(p, address)
	if err == nil {
		s.sentBytes.Add(uint64(n))
		s.sentPackets.Add(1)
	}
	return n, err
}

func listenCounting(address string) (*countingSocket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	return &countingSocket{PacketConn: udp, udp: udp}, nil
}

func (s *countingSocket) counters() Counters {
	return Counters{
		SentBytes: s.sentBytes.Load(), ReceivedBytes: s.receivedBytes.Load(),
		SentPackets: s.sentPackets.Load(), ReceivedPackets: s.receivedPackets.Load(),
	}
}

// SetReadBuffer lets quic-go enlarge the socket's buffers.
func (s *countingSocket) SetReadBuffer(size int) error { return s.udp.SetReadBuffer(size) }

// SetWriteBuffer lets quic-go enlarge the socket's buffers.
func (s *countingSocket) SetWriteBuffer(size int) error { return s.udp.SetWriteBuffer(size) }
