package site

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports of processes under test. They lie below the range from which systems
// take ports of outgoing connections, so that none is taken meanwhile.
const (
	firstPort = 20000
	portCount = 10000
)

var ports struct {
	sync.Mutex
	next int
}

// FreeAddress returns a loopback "ip:port" that nothing listens on. No address
// is returned twice.
func FreeAddress() (string, error) {
	port, err := FreePorts(1)
	return address(port), err
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// FreePorts returns the first of count ports in a row on which nothing listens.
// No port is returned twice.
func FreePorts(count int) (int, error) {
	ports.Lock()
	defer ports.Unlock()
	run := 0
	for range portCount {
		port := firstPort + (os.Getpid()*97+ports.next)%portCount
		ports.next++
		if port == firstPort {
			run = 0
		}
		l, err := net.Listen("tcp4", address(port))
		if err != nil {
			run = 0
			continue
		}
		if err := l.Close(); err != nil {
			return 0, err
		}
		if run++; run == count {
			return port - count + 1, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports from %d on", count, firstPort)
}
