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
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		port := firstPort + (os.Getpid()*97+ports.next)%portCount
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port from %d on", firstPort)
}
