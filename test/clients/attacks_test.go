package clients

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// attackTime is how long the clients of one attack send and hold their connections. On
// loopback they need less than half of it to send.
const attackTime = 600 * time.Millisecond

// target is an address under attack, and what its clients send.
type target struct {
	address string
	// path returns the path of a request with a number.
	path func(client int) string
	// header has the fields of an ordinary request, body its body. Without one it is a
	// GET.
	header, body string
	// maxBody is the length of the longest legal body.
	maxBody int
	// method is that of an ordinary request without a body, GET if it is empty.
	method string
}

// head returns the start of a request, without the empty line at its end.
func (to target) head(method string, client int, fields string) string {
	return to.headAt(method, to.path(client), fields)
}

func (to target) headAt(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s%s", method, path, to.header, fields)
}

// requestNumber is the number of the last ordinary request.
var requestNumber atomic.Int32

// ordinary returns a whole ordinary request that no client has sent.
func (to target) ordinary() string {
	number := int(requestNumber.Add(1)) + clientCount
	if to.body == "" {
		return to.head(cmp.Or(to.method, "GET"), number, "\r\n")
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", to.head("POST", number, ""), len(to.body), to.body)
}

// padded returns an ordinary body of exactly maxBody bytes.
func (to target) padded() []byte {
	return append([]byte(to.body), bytes.Repeat([]byte{' '}, to.maxBody-len(to.body))...)
}

// postBody sends a whole request with the body.
func (to target) postBody(c net.Conn, path string, body []byte) {
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", to.headAt("POST", path, ""), len(body))
	sendPieces(c, body)
}

// attack is what one of the clients does with its connection. It sends until the
// connection fails; its errors are not checked, because refusing is allowed.
type attack struct {
	name string
	// run gets the number of the client. The connection closes at the end of the attack.
	run func(c net.Conn, to target, client int)
}

// sendPieces writes data in pieces of 64 KiB.
func sendPieces(c net.Conn, data []byte) {
	const piece = 64 << 10
	for len(data) > 0 {
		n, err := c.Write(data[:min(piece, len(data))])
		if err != nil {
			return
		}
		data = data[n:]
	}
}

// sendRepeatedly writes data until the connection fails, at most limit bytes.
func sendRepeatedly(c net.Conn, data []byte, limit int) {
	for sent := 0; sent < limit; sent += len(data) {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

// attacks are the cases for every address. Each client sends at most 4 MB, so that an attack ends on any
// machine.
var attacks = []attack{
	{"Content-Length far over the limit", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: 10000000000\r\n\r\n", to.head("POST", client, ""))
		sendRepeatedly(c, make([]byte, 64<<10), 4<<20)
	}},
	{"body four times the limit", func(c net.Conn, to target, client int) {
		to.postBody(c, to.path(client), append(to.padded(), bytes.Repeat([]byte{' '}, 3*to.maxBody)...))
	}},
	{"chunks without end", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", to.head("POST", client, ""))
		chunk := append([]byte("10000\r\n"), make([]byte, 64<<10)...)
		sendRepeatedly(c, append(chunk, "\r\n"...), 4<<20)
	}},
	{"legal bodies sent whole", func(c net.Conn, to target, client int) { to.postBody(c, to.path(client), to.padded()) }},
	{"legal bodies that stop one byte short", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", to.head("POST", client, ""), to.maxBody)
		sendPieces(c, to.padded()[:to.maxBody-1])
	}},
	{"chunks that stop one byte short", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", to.head("POST", client, ""), to.maxBody)
		sendPieces(c, to.padded()[:to.maxBody-1])
	}},
	{"headers without end", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprint(c, to.head("POST", client, ""))
		for i := 0; i < 4<<20/16384; i++ {
			if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("x", 16384)); err != nil {
				return
			}
		}
	}},
	{"thousands of header fields", func(c net.Conn, to target, client int) {
		var fields strings.Builder
		for i := 0; fields.Len() < 15800; i++ {
			_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\n", to.head("POST", client, fields.String()))
	}},
	{"connections that send nothing", func(net.Conn, target, int) {}},
	{"answers that are never read", func(c net.Conn, to target, client int) {
		_, _ = fmt.Fprintf(c, "%s\r\n", to.head("GET", client, ""))
	}},
	{"pipelined requests, answers never read", func(c net.Conn, to target, client int) {
		sendRepeatedly(c, []byte(strings.Repeat(to.head("GET", client, "")+"\r\n", 50)), 1<<20)
	}},
	{"pipelined bodies, answers never read", func(c net.Conn, to target, client int) {
		body := to.padded()[:to.maxBody/4]
		request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", to.head("POST", client, ""), len(body), body)
		sendRepeatedly(c, []byte(request), 1<<20)
	}},
}

// jobAttacks are those with the body of a job.
var jobAttacks = []attack{
	{"deep nesting", func(c net.Conn, to target, client int) {
		to.postBody(c, to.path(client), []byte(`{"steps":`+strings.Repeat(`[`, to.maxBody-9)))
	}},
	{"nesting of objects", func(c net.Conn, to target, client int) {
		to.postBody(c, to.path(client), []byte(strings.Repeat(`{"steps":[`, 9000)))
	}},
	{"bodies with very many steps", func(c net.Conn, to target, client int) {
		to.postBody(c, to.path(client), []byte(`{"steps":[{}`+strings.Repeat(`,{}`, (to.maxBody-14)/3)+`]}`))
	}},
	{"bodies with millions of tasks", func(c net.Conn, to target, client int) {
		step := `{"count":1000000000,"cpu":1,"after":[0` + strings.Repeat(",0", 50) + `]}`
		to.postBody(c, to.path(client), []byte(`{"spec":"x","times":1000000000,"steps":[`+step+strings.Repeat(","+step, 1500)+`]}`))
	}},
	{"bodies with very many dependencies", func(c net.Conn, to target, client int) {
		to.postBody(c, to.path(client), []byte(`{"steps":[{"count":1,"after":[0`+strings.Repeat(",0", (to.maxBody-40)/2)+`]}]}`))
	}},
}

// runAttack opens all connections, runs the attack on them and closes them after
// attackTime.
func (p *process) runAttack(to target, a attack) {
	ctx, cancel := context.WithTimeout(context.Background(), attackTime)
	defer cancel()
	var clients, watch sync.WaitGroup
	watch.Go(func() { p.watchDescriptors(ctx) })
	for i := range clientCount {
		clients.Go(func() {
			var dialer net.Dialer
			c, err := dialer.DialContext(ctx, "tcp4", to.address)
			if err != nil {
				return
			}
			deadline, _ := ctx.Deadline()
			_ = c.SetDeadline(deadline)
			a.run(c, to, i)
			<-ctx.Done()
			_ = c.Close()
		})
	}
	clients.Wait()
	watch.Wait()
}

// TestCallersAddress guards against clients of the callers' address that end the
// process, make it exceed its memory or descriptors, or stop it from serving.
func TestCallersAddress(t *testing.T) {
	for _, a := range slices.Concat(attacks, jobAttacks) {
		t.Run(a.name, func(t *testing.T) {
			n := startNode(t)
			n.runAttack(n.target(n.front), a)
			n.checkBounds()
			n.checkServes()
		})
	}
}

// TestOtherAddresses guards against the same clients on the addresses for readiness
// checks and metrics. One process endures all cases, which is stricter than one process
// for each.
func TestOtherAddresses(t *testing.T) {
	for _, server := range []struct {
		name    string
		address func(n *nodeProcess) string
	}{
		{"readiness", func(n *nodeProcess) string { return n.ready }},
		{"metrics", func(n *nodeProcess) string { return n.metrics }},
	} {
		t.Run(server.name, func(t *testing.T) {
			n := startNode(t)
			for _, a := range slices.Concat(attacks, jobAttacks) {
				n.runAttack(n.target(server.address(n)), a)
			}
			n.checkBounds()
			n.checkServes()
		})
	}
}

// slowLink writes at 10 Mbit/s, in pieces of 10 ms.
type slowLink struct{ net.Conn }

// Write implements net.Conn.
func (l slowLink) Write(p []byte) (int, error) {
	const piece = 12_500
	for sent := 0; sent < len(p); sent += piece {
		if _, err := l.Conn.Write(p[sent:min(len(p), sent+piece)]); err != nil {
			return sent, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return len(p), nil
}

// TestLargestRequestOverSlowLink guards against limits that refuse the largest legal
// request, with a head of almost max-header-bytes, when it comes over 10 Mbit/s.
func TestLargestRequestOverSlowLink(t *testing.T) {
	n := startNode(t)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			c, err := dialer.DialContext(ctx, network, address)
			return slowLink{c}, err
		},
	}}
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+prefix+"00000000000000aa", bytes.NewReader(n.target(n.front).padded()))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Key", key)
	request.Header.Set("X-Padding", strings.Repeat("x", 15_000))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", response.StatusCode)
	}
}
