package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// proxy forwards TCP connections from a loopback address to target. Its mode and
// delay inject faults; they apply to open and to new connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	conns map[net.Conn]bool
}

// proxyMode selects what a proxy does with connections and their data.
type proxyMode int

const (
	modeForward proxyMode = iota
	// modeSilent accepts connections, keeps them open and drops all data.
	modeSilent
	// modeDropResponses forwards requests and drops responses.
	modeDropResponses
	// modeRefuse closes each new connection right after accepting it.
	modeRefuse
)

// newProxy starts a proxy on a free loopback port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode and the delay of each chunk of data.
func (p *proxy) setMode(mode proxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve connects a client to the target and returns when the connection has
// ended.
func (p *proxy) serve(client net.Conn) {
	if mode, _ := p.currentMode(); mode == modeRefuse {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.forward(server, client, false)
	p.forward(client, server, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) currentMode() (proxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// readTimeout is the deadline of one read in forward, which then reads again.
const readTimeout = 20 * time.Millisecond

// forward copies one direction of a connection until the connection is closed;
// responses is true for the direction from the target to the client. Once
// forward has dropped data, it also drops all later data of this direction, like
// a middlebox that has lost the state of the connection. The client must open a
// new connection.
func (p *proxy) forward(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		if err := from.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		n, err := from.Read(buffer)
		mode, delay := p.currentMode()
		dropped = dropped || n > 0 && (mode == modeSilent || mode == modeDropResponses && responses)
		if n > 0 && !dropped {
			time.Sleep(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || err == io.EOF {
			return
		}
	}
}
