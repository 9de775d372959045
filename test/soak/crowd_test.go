package soak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB and maxDescriptors are the limits in the nodes' settings. A process of
	// this size has 192 places for callers.
	memoryMB       = 96
	maxDescriptors = 384
	// crowdSize is the number of clients of a crowd.
	crowdSize = 250
)

// crowdKinds are what a client of a crowd sends before it holds its connection.
var crowdKinds = []string{
	"",
	"POST " + prefix + "00000000000000aa HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262143),
	"POST " + prefix + "00000000000000aa HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 262143),
	"GET " + prefix + "00000000000000aa HTTP/1.1\r\nHost: " + host + "\r\nKey: good\r\n\r\n",
	strings.Repeat("GET "+prefix+"00000000000000aa HTTP/1.1\r\nHost: "+host+"\r\nKey: good\r\n\r\n", 50),
}

// joinCrowd opens connections to a node, which close after the duration. Each client opens
// a new one when its connection fails.
func joinCrowd(p *nodeProcess, kind int, duration time.Duration) {
	end := time.Now().Add(duration)
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() {
			for time.Now().Before(end) {
				holdConnection(p.frontAddress, crowdKinds[(kind+i%2)%len(crowdKinds)], end)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
}

func holdConnection(address, request string, end time.Time) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	if _, err := c.Write([]byte(request)); err != nil {
		return
	}
	buffer := make([]byte, 512)
	for err == nil {
		_, err = c.Read(buffer)
	}
}

// checkMemory checks that the running processes have stayed within their memory.
func (s *soakRun) checkMemory() {
	for _, p := range s.nodes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			s.t.Error(err)
			continue
		}
		_, rest, _ := strings.Cut(string(data), "VmHWM:")
		if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err != nil || kb > memoryMB*1024 {
			s.t.Errorf("%s: peak resident memory %d KB exceeds the machine's %d MB (%v)", p.name, kb, memoryMB, err)
		}
	}
}
