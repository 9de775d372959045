package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// proxy forwards TCP connections over loopback and misbehaves on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	conns map[net.Conn]bool
}

type proxyMode int

const (
	forwards proxyMode = iota
	// silent connections stay open and carry nothing; new ones too.
	silent
	// oneWay carries requests and drops answers.
	oneWay
	// refuses closes connections as they come.
	refuses
)

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// reset closes all connections at once.
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

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	if mode, _ := p.now(); mode == refuses {
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
	go p.copy(server, client, false)
	p.copy(client, server, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) now() (proxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// silenceCheck is how often a held-back connection looks whether it may go on.
const silenceCheck = 20 * time.Millisecond

// copy carries one direction. Bytes that a silent spell holds back are dropped,
// as by a middle box that has lost track of the connection.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		if err := from.SetReadDeadline(time.Now().Add(silenceCheck)); err != nil {
			return
		}
		n, err := from.Read(buffer)
		mode, delay := p.now()
		dropped = dropped || n > 0 && (mode == silent || mode == oneWay && answers)
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
