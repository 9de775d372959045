package site

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Port range of processes under test. It lies below the ephemeral port range,
// so that no outgoing connection uses a port before its process listens on it.
const (
	firstPort = 20000
	portCount = 10000
)

var ports struct {
	sync.Mutex
	next int
}

// FreeAddress returns a loopback "ip:port" on which nothing listens. It
// returns no address twice before the port range is used up.
func FreeAddress() (string, error) {
	port, err := FreePorts(1)
	return address(port), err
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// FreePorts returns the first of count consecutive ports on which nothing
// listens. It returns no port twice before the port range is used up.
func FreePorts(count int) (int, error) {
	ports.Lock()
	defer ports.Unlock()
	consecutive := 0
	for range portCount {
		port := firstPort + (os.Getpid()*97+ports.next)%portCount
		ports.next++
		if port == firstPort {
			consecutive = 0
		}
		l, err := net.Listen("tcp4", address(port))
		if err != nil {
			consecutive = 0
			continue
		}
		if err := l.Close(); err != nil {
			return 0, err
		}
		if consecutive++; consecutive == count {
			return port - count + 1, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports from %d on", count, firstPort)
}
