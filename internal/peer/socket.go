package peer

import (
	"net"
	"sync/atomic"
)

// Counters are the bytes and packets that a node has sent and received. The
// bytes are UDP payload; over IPv4, the IP and UDP headers add 28 bytes to each
// packet.
type Counters struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

// countingSocket counts the bytes and packets of a UDP socket. It does not
// expose the other methods of net.UDPConn, because quic-go would use them and
// bypass the counters.
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

func listenUDP(address string) (*countingSocket, error) {
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

// SetReadBuffer sets the size of the receive buffer; quic-go calls it to enlarge
// the buffer.
func (s *countingSocket) SetReadBuffer(size int) error { return s.udp.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the send buffer; quic-go calls it to enlarge
// the buffer.
func (s *countingSocket) SetWriteBuffer(size int) error { return s.udp.SetWriteBuffer(size) }
