package clients

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// attackTime is how long the clients of one attack send and hold their connections. On
// loopback they need less than half of it to send.
const attackTime = 600 * time.Millisecond

// attack is what one of the clients does with its connection. It sends until the
// connection fails; its errors are not checked, because refusing is allowed.
type attack struct {
	name string
	// run gets the number of the client. The connection closes at the end of the attack.
	run func(c net.Conn, client int)
}

// head returns the start of a request for a job, without the empty line at its end.
func head(method string, client int, fields string) string {
	return fmt.Sprintf("%s %s%016x HTTP/1.1\r\nHost: %s\r\nKey: %s\r\nRequest-Deadline: 3000\r\n%s", method, prefix, client+1, host, key, fields)
}

// paddedJob returns a valid job of exactly maxBodyBytes.
func paddedJob() []byte {
	return append([]byte(ordinaryJob), bytes.Repeat([]byte{' '}, maxBodyBytes-len(ordinaryJob))...)
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

// postBody sends a whole request with the body.
func postBody(c net.Conn, client int, body []byte) {
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("POST", client, ""), len(body))
	sendPieces(c, body)
}

// attacks are the cases. Each client sends at most 4 MB, so that an attack ends on any
// machine.
var attacks = []attack{
	{"Content-Length far over the limit", func(c net.Conn, client int) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: 10000000000\r\n\r\n", head("POST", client, ""))
		sendRepeatedly(c, make([]byte, 64<<10), 4<<20)
	}},
	{"body four times the limit", func(c net.Conn, client int) {
		postBody(c, client, append(paddedJob(), bytes.Repeat([]byte{' '}, 3*maxBodyBytes)...))
	}},
	{"chunks without end", func(c net.Conn, client int) {
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head("POST", client, ""))
		chunk := append([]byte("10000\r\n"), make([]byte, 64<<10)...)
		sendRepeatedly(c, append(chunk, "\r\n"...), 4<<20)
	}},
	{"legal bodies sent whole", func(c net.Conn, client int) { postBody(c, client, paddedJob()) }},
	{"legal bodies that stop one byte short", func(c net.Conn, client int) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("POST", client, ""), maxBodyBytes)
		sendPieces(c, paddedJob()[:maxBodyBytes-1])
	}},
	{"chunks that stop one byte short", func(c net.Conn, client int) {
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head("POST", client, ""), maxBodyBytes)
		sendPieces(c, paddedJob()[:maxBodyBytes-1])
	}},
	{"headers without end", func(c net.Conn, client int) {
		_, _ = fmt.Fprint(c, head("POST", client, ""))
		for i := 0; i < 4<<20/16384; i++ {
			if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("x", 16384)); err != nil {
				return
			}
		}
	}},
	{"thousands of header fields", func(c net.Conn, client int) {
		var fields strings.Builder
		for i := 0; fields.Len() < 15800; i++ {
			_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\n", head("POST", client, fields.String()))
	}},
	{"connections that send nothing", func(net.Conn, int) {}},
	{"answers that are never read", func(c net.Conn, client int) {
		_, _ = fmt.Fprintf(c, "%s\r\n", head("GET", client, ""))
	}},
	{"pipelined requests, answers never read", func(c net.Conn, client int) {
		sendRepeatedly(c, []byte(strings.Repeat(head("GET", client, "")+"\r\n", 50)), 1<<20)
	}},
	{"pipelined bodies, answers never read", func(c net.Conn, client int) {
		body := paddedJob()[:maxBodyBytes/4]
		request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head("POST", client, ""), len(body), body)
		sendRepeatedly(c, []byte(request), 1<<20)
	}},
	{"deep nesting", func(c net.Conn, client int) {
		postBody(c, client, []byte(`{"steps":`+strings.Repeat(`[`, maxBodyBytes-9)))
	}},
	{"nesting of objects", func(c net.Conn, client int) {
		postBody(c, client, []byte(strings.Repeat(`{"steps":[`, 9000)))
	}},
	{"bodies with very many steps", func(c net.Conn, client int) {
		postBody(c, client, []byte(`{"steps":[{}`+strings.Repeat(`,{}`, (maxBodyBytes-14)/3)+`]}`))
	}},
	{"bodies with millions of tasks", func(c net.Conn, client int) {
		step := `{"count":1000000000,"cpu":1,"after":[0` + strings.Repeat(",0", 50) + `]}`
		postBody(c, client, []byte(`{"spec":"x","times":1000000000,"steps":[`+step+strings.Repeat(","+step, 1500)+`]}`))
	}},
	{"bodies with very many dependencies", func(c net.Conn, client int) {
		postBody(c, client, []byte(`{"steps":[{"count":1,"after":[0`+strings.Repeat(",0", (maxBodyBytes-40)/2)+`]}]}`))
	}},
}

// runAttack opens all connections, runs the attack on them and closes them after
// attackTime.
func (n *nodeProcess) runAttack(address string, a attack) {
	ctx, cancel := context.WithTimeout(context.Background(), attackTime)
	defer cancel()
	var clients, watch sync.WaitGroup
	watch.Go(func() { n.watchDescriptors(ctx) })
	for i := range clientCount {
		clients.Go(func() {
			var dialer net.Dialer
			c, err := dialer.DialContext(ctx, "tcp4", address)
			if err != nil {
				return
			}
			deadline, _ := ctx.Deadline()
			_ = c.SetDeadline(deadline)
			a.run(c, i)
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
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			n := startNode(t)
			n.runAttack(n.front, a)
			n.checkBounds()
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
			for _, a := range attacks {
				n.runAttack(server.address(n), a)
			}
			n.checkBounds()
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
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+prefix+"00000000000000aa", bytes.NewReader(paddedJob()))
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
