package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

const (
	// requestInterval is the time between two requests of a client of a crowd. It is far
	// below the time after which idle connections close.
	requestInterval = 2 * time.Second
	// reconnectDelay is the mean time after which a client of a crowd connects again, as
	// its refusal asks for.
	reconnectDelay = time.Second
	// settleTime is the time that a crowd has to open its connections.
	settleTime = 2 * time.Second
)

// crowd is what one of clientCount clients does with a connection until it fails. The
// client then connects again.
type crowd struct {
	name string
	run  func(c net.Conn, to target) error
}

// ordinaryCrowd sends one ordinary request at a time on an open connection, floodingCrowd
// without a pause.
var (
	ordinaryCrowd = crowd{"one request at a time", func(c net.Conn, to target) error { return sendOrdinary(c, to, requestInterval) }}
	floodingCrowd = crowd{"requests without a pause", func(c net.Conn, to target) error { return sendOrdinary(c, to, 0) }}
)

// sendOrdinary sends one ordinary request at a time until the connection ends.
func sendOrdinary(c net.Conn, to target, interval time.Duration) error {
	reader := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, to.ordinary()); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		if response.Close {
			return nil
		}
		time.Sleep(interval)
	}
}

// pipeliningCrowd sends 50 ordinary requests at a time and reads no answer.
var pipeliningCrowd = crowd{"pipelined requests, answers never read", func(c net.Conn, to target) error {
	for {
		var requests strings.Builder
		for range 50 {
			requests.WriteString(to.ordinary())
		}
		if _, err := io.WriteString(c, requests.String()); err != nil {
			return err
		}
		time.Sleep(requestInterval)
	}
}}

// silentCrowd sends nothing.
var silentCrowd = crowd{"connections that send nothing", func(c net.Conn, _ target) error {
	_, err := io.Copy(io.Discard, c)
	return err
}}

// join starts the crowd on a process and waits for settleTime. The crowd leaves when the
// test ends or the returned function is called.
func (p *process) join(to target, c crowd) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { p.watchDescriptors(ctx) })
	for range clientCount {
		clients.Go(func() {
			for ctx.Err() == nil {
				runMember(ctx, to, c)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay/2 + rand.N(reconnectDelay)):
				}
			}
		})
	}
	leave = sync.OnceFunc(func() {
		cancel()
		clients.Wait()
	})
	p.t.Cleanup(leave)
	time.Sleep(settleTime)
	return leave
}

// runMember runs one connection of a client of a crowd.
func runMember(ctx context.Context, to target, c crowd) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp4", to.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	_ = c.run(connection, to)
}

// TestNodeServesBesideCrowd guards against clients inside the limits that hold all places
// of a node, so that other callers, or the load balancer's readiness checks, get none.
func TestNodeServesBesideCrowd(t *testing.T) {
	for _, c := range []crowd{ordinaryCrowd, pipeliningCrowd} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t)
			n.join(n.target(n.front), c)
			n.checkServes()
			n.checkBounds()
		})
	}
	t.Run("readiness checks", func(t *testing.T) {
		n := startNode(t)
		checks := target{address: n.ready, header: "Host: x\r\n", path: func(int) string { return "/ready" }}
		n.join(checks, ordinaryCrowd)
		// The load balancer opens a connection for each check.
		checker := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		n.waitFor("a readiness check is answered", func() bool {
			status, _ := send(checker, newRequest(http.MethodGet, "http://"+n.ready+"/ready", nil))
			return status == http.StatusOK
		})
		n.checkBounds()
	})
}

// TestNodePeerAddress guards against clients that use up the descriptors of a node by
// connections to the address for other nodes.
func TestNodePeerAddress(t *testing.T) {
	n := startNode(t)
	n.join(target{address: n.peers}, silentCrowd)
	n.join(n.target(n.front), ordinaryCrowd)
	n.checkBounds()
}

// TestTakeoverBesideCrowd guards against crowds that keep a node from taking over the
// scheduling from one that was killed, or from serving then.
func TestTakeoverBesideCrowd(t *testing.T) {
	first := startNode(t)
	second := startNodeAt(t, first.site, "edge-2")
	second.join(second.target(second.front), ordinaryCrowd)
	second.join(target{address: second.peers}, silentCrowd)
	first.join(target{address: first.peers}, silentCrowd)
	first.kill()
	second.waitUntilScheduling()
	second.checkServes()
	second.waitForCompletedJob()
	second.checkBounds()
}

// waitForCompletedJob waits until the node accepts a job and shows it as completed.
func (n *nodeProcess) waitForCompletedJob() {
	n.t.Helper()
	client := site.Caller{Queue: site.Queue{Host: host, Prefix: prefix}, Key: key}
	id := fmt.Sprintf("%016x", 1<<33)
	n.waitFor("a job is accepted and completed", func() bool {
		if state, err := client.State(n.front, id); err == nil && state == "completed" {
			return true
		}
		_, _ = submit(http.DefaultClient, n.front, id, ordinaryJob)
		return false
	})
}

// TestExplainWhereBesideCrowd guards against questions of operators, with the largest
// bodies that they may have, which keep a scheduler from scheduling or from serving
// callers.
func TestExplainWhereBesideCrowd(t *testing.T) {
	n := startNode(t)
	step := `{"count":128,"cpu":100,"mem-mb":10,"est-runtime-ms":5}`
	questions := target{
		address: n.metrics, header: "Host: x\r\n",
		path: func(int) string { return "/explain/where?queue=quick&team=depots" },
		body: `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + step + strings.Repeat(","+step, 63) + `]}`,
	}
	if status, err := send(http.DefaultClient, newRequest(http.MethodPost, "http://"+n.metrics+questions.path(0), []byte(questions.body))); status != http.StatusOK {
		t.Fatalf("a question is answered by %d, %v", status, err)
	}
	n.join(questions, ordinaryCrowd)
	n.join(questions, pipeliningCrowd)
	n.checkServes()
	n.waitForCompletedJob()
	n.checkBounds()
}

// floodTime is how long a flood of jobs lasts.
const floodTime = 8 * time.Second

// TestFloodOfJobs guards against callers inside the limits whose accepted jobs take the
// memory of every node, which has a copy of all jobs, and against refusing other teams for
// them.
func TestFloodOfJobs(t *testing.T) {
	large := `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[{"count":4096,"cpu":100,"mem-mb":10,"est-runtime-ms":5},{"count":4096,"cpu":100,"mem-mb":10,"est-runtime-ms":5,"after":[0]}]}`
	for name, body := range map[string]string{"small jobs": ordinaryJob, "jobs of 8,192 tasks": large} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			to := n.target(n.front)
			to.body = body
			leave := n.join(to, floodingCrowd)
			time.Sleep(floodTime)
			n.checkServesTeam(otherKey)
			leave()
			n.checkBounds()
		})
	}
}

// TestFloodOfCancellations guards against cancellations of jobs that don't exist, which
// every node keeps in case that the job is stored later.
func TestFloodOfCancellations(t *testing.T) {
	n := startNode(t)
	to := n.target(n.front)
	to.method, to.body = "DELETE", ""
	leave := n.join(to, floodingCrowd)
	time.Sleep(2 * floodTime)
	leave()
	n.checkBounds()
	n.checkServes()
}
