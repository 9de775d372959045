package clients

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// entryNames are the entry instances with certificates.
var entryNames = []string{"entry-1", "entry-2"}

const (
	service    = "bookings"
	maxWork    = front.MaxBodySize
	workBody   = "hold washer 7"
	workSecret = "secret-of-bookings"
)

// entryProcess is one entry instance that runs as a process.
type entryProcess struct {
	*process
	// platform is the address of the stand-in of the platform.
	platform string
	// front is the address for callers and operators, peers the one for other instances.
	front, peers string
}

// startEntry starts stand-ins of the platform and of an endpoint, and an entry instance
// that serves requests.
func startEntry(t *testing.T) *entryProcess {
	t.Helper()
	return startEntryBefore(t, standin.NewEndpoint(time.Millisecond))
}

// listenerServer is a stand-in that serves the connections of a listener.
type listenerServer interface{ Serve(net.Listener) error }

// startEntryBefore is startEntry with an endpoint of the caller.
func startEntryBefore(t *testing.T, server listenerServer) *entryProcess {
	t.Helper()
	platformAddress, endpoint := freeAddress(t), freeAddress(t)
	serve := func(address string, s listenerServer) {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() { _ = s.Serve(l) }()
	}
	serve(platformAddress, standin.NewPlatformServer(standin.NewStore(time.Now)))
	serve(endpoint, server)
	post(t, platformAddress, standin.PathUpdateInstance, platform.Instance{ID: "e1", Service: service, DataCentre: "north", Address: endpoint})
	e := startEntryAt(t, platformAddress, entryNames[0])
	for i, object := range []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: 64, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: service}, Document: &contract.Document{Service: service, Team: "depots", Pool: "main", MinAvailable: 1}},
		{Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"}, Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(workSecret)}},
	} {
		e.waitFor(fmt.Sprintf("object %d is accepted", i), func() bool {
			return post(t, e.front, "/v1/config/change", contract.Change{ID: fmt.Sprint("c", i), Author: "operator", Object: object}) == http.StatusOK
		})
	}
	e.checkServes()
	return e
}

// startEntryAt starts an entry instance and waits until it is ready.
func startEntryAt(t *testing.T, platformAddress, name string) *entryProcess {
	t.Helper()
	e := &entryProcess{platform: platformAddress, front: freeAddress(t), peers: freeAddress(t)}
	files := peer.MemberTLSFiles(certificates, name)
	data, err := json.Marshal(settings.Entry{
		ID: name, DataCentre: "north", HTTP: e.front, Peer: e.peers, Platform: platformAddress,
		DataCentres: map[string]string{"north": "west"},
		TLS:         settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key},
		Clients:     settings.Clients{MemoryMB: memoryMB, MaxDescriptors: maxDescriptors},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.process = startProcess(t, "", "entry", "--settings", writeFile(t, "settings.json", data))
	e.waitFor("the instance is ready", func() bool { return e.get("/v1/ready") == http.StatusOK })
	return e
}

// post sends value as JSON and returns the HTTP status, 0 for no answer.
func post(t *testing.T, address, path string, value any) int {
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	status, _ := send(http.DefaultClient, newRequest(http.MethodPost, "http://"+address+path, body))
	return status
}

func (e *entryProcess) get(path string) int {
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	status, _ := send(client, newRequest(http.MethodGet, "http://"+e.front+path, nil))
	return status
}

func (e *entryProcess) target() target {
	return target{
		address: e.front, maxBody: maxWork, body: workBody,
		header: "Host: x\r\n" + front.HeaderKey + ": " + workSecret + "\r\n",
		path:   func(int) string { return "/v1/work/" + service },
	}
}

// checkServes checks that the instance answers an ordinary request and a readiness check.
func (e *entryProcess) checkServes() {
	e.t.Helper()
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	e.waitFor("an ordinary request is answered", func() bool {
		status, _ := send(client, newRequest(http.MethodPost, "http://"+e.front+"/v1/work/"+service, []byte(workBody), front.HeaderKey, workSecret))
		return status == http.StatusOK
	})
	e.waitFor("the instance is ready", func() bool { return e.get("/v1/ready") == http.StatusOK })
}

// entryAttacks are those with the bodies that an entry instance decodes.
var entryAttacks = []attack{
	{"submissions of very many tasks", func(c net.Conn, to target, _ int) {
		to.postBody(c, "/v1/task/submit/"+service, []byte(`{"tasks":[{}`+strings.Repeat(`,{}`, (to.maxBody-14)/3)+`]}`))
	}},
	{"cancellations of very many tasks", func(c net.Conn, to target, _ int) {
		to.postBody(c, "/v1/task/cancel", []byte(`{"ids":[""`+strings.Repeat(`,""`, (to.maxBody-12)/3)+`]}`))
	}},
	{"changes with deep nesting", func(c net.Conn, to target, _ int) {
		to.postBody(c, "/v1/config/change", []byte(strings.Repeat(`{"object":[`, to.maxBody/11)))
	}},
	{"changes with very many values", func(c net.Conn, to target, _ int) {
		start := `{"id":"x","author":"x","object":{"document":{"Teams":[""`
		to.postBody(c, "/v1/config/change", []byte(start+strings.Repeat(`,""`, (to.maxBody-len(start)-4)/3)+`]}}}`))
	}},
	{"waves with very many pools", func(c net.Conn, to target, _ int) {
		to.postBody(c, "/v1/maintenance/wave/start", []byte(`{"pools":[""`+strings.Repeat(`,""`, (to.maxBody-14)/3)+`]}`))
	}},
}

// TestEntryAttacks guards against clients that end an entry instance, make it exceed its
// memory or descriptors, or stop it from serving.
func TestEntryAttacks(t *testing.T) {
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) { testEntryAttack(t, a) })
	}
}

// TestEntryDecoding guards against bodies of legal size whose decoded form is far larger.
func TestEntryDecoding(t *testing.T) {
	for _, a := range entryAttacks {
		t.Run(a.name, func(t *testing.T) { testEntryAttack(t, a) })
	}
}

func testEntryAttack(t *testing.T, a attack) {
	e := startEntry(t)
	e.runAttack(e.target(), a)
	e.checkBounds()
	e.checkServes()
}

// TestEntryServesBesideCrowd guards against clients inside the limits that use up the
// descriptors of an entry instance, or hold all its places.
func TestEntryServesBesideCrowd(t *testing.T) {
	for _, c := range []crowd{ordinaryCrowd, pipeliningCrowd, silentCrowd} {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			e.join(e.target(), c)
			e.checkServes()
			e.checkBounds()
		})
	}
}

// TestEntryTakeoverBesideCrowd guards against crowds that keep an entry instance from
// serving after another one was killed.
func TestEntryTakeoverBesideCrowd(t *testing.T) {
	first := startEntry(t)
	second := startEntryAt(t, first.platform, entryNames[1])
	second.checkServes()
	second.join(second.target(), ordinaryCrowd)
	first.kill()
	second.checkServes()
	second.checkBounds()
}

// TestEntryStopsDuringAttack guards against an instance that does not end after SIGTERM
// while clients hold connections, and against closing the connection of a request that is
// being served then.
func TestEntryStopsDuringAttack(t *testing.T) {
	e := startEntryBefore(t, standin.NewEndpoint(3*time.Second))
	leave := e.join(e.target(), silentCrowd)
	defer leave()
	served := make(chan error, 1)
	go func() {
		status, err := send(http.DefaultClient, newRequest(http.MethodPost, "http://"+e.front+"/v1/work/"+service, []byte(workBody), front.HeaderKey, workSecret))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		served <- err
	}()
	time.Sleep(time.Second)
	e.signal(syscall.SIGTERM)
	if err := <-served; err != nil {
		t.Errorf("the request that was served at the stop: %v", err)
	}
	select {
	case <-e.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the process has not ended")
	}
	if code := e.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// handshakeCount is the number of handshakes that clients begin at a peer address.
const handshakeCount = 4000

// discardingConn is a packet connection that keeps the first packet written to it and
// receives nothing.
type discardingConn struct {
	net.PacketConn
	first chan []byte
}

// WriteTo implements net.PacketConn.
func (c discardingConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	select {
	case c.first <- append([]byte(nil), p...):
	default:
	}
	return len(p), nil
}

// firstPacket returns the packet with which a client begins a handshake.
func firstPacket(t *testing.T) []byte {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	transport := &quic.Transport{Conn: discardingConn{socket, make(chan []byte, 1)}}
	defer func() { _ = transport.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := transport.Dial(ctx, socket.LocalAddr(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"crocusjunction-peer/1"}}, nil)
		failed <- err
	}()
	packet := <-transport.Conn.(discardingConn).first
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	return packet
}

// TestEntryPeerAddress guards against clients that begin handshakes at the address for
// other entry instances and send nothing more, so that the instance keeps their state.
func TestEntryPeerAddress(t *testing.T) {
	e := startEntry(t)
	go e.watchDescriptors(t.Context())
	packets := make([][]byte, handshakeCount)
	var group sync.WaitGroup
	const workers = 8
	for w := range workers {
		group.Go(func() {
			for i := w; i < len(packets); i += workers {
				packets[i] = firstPacket(t)
			}
		})
	}
	group.Wait()
	// Each client has an address of its own.
	for i, packet := range packets {
		c, err := net.Dial("udp4", e.peers)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(packet); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		if i%50 == 49 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	second := startEntryAt(t, e.platform, entryNames[1])
	e.checkBounds()
	e.checkServes()
	e.waitFor("the instances exchange messages", func() bool { return second.hears(entryNames[0]) })
}

// hears reports whether the instance has received a message of another one.
func (e *entryProcess) hears(member string) bool {
	response, err := http.Get("http://" + e.front + "/v1/config/status")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var status front.ConfigStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return false
	}
	return slices.ContainsFunc(status.Members, func(m front.MemberStatus) bool { return m.ID == member && m.HeardAgoMS >= 0 })
}

// TestEntryLargeAnswers guards against answers of legal size that clients ask for by small
// requests and don't read, so that the instance keeps them.
func TestEntryLargeAnswers(t *testing.T) {
	answer := make([]byte, 1<<20)
	e := startEntryBefore(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{endpointclient.HeaderRequestID, endpointclient.HeaderAttempt} {
			w.Header().Set(name, r.Header.Get(name))
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	})})
	e.join(e.target(), crowd{"answers that are never read", func(c net.Conn, to target) error {
		// The kernel keeps little of an answer for the client, as on a slow link.
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		if _, err := io.WriteString(c, to.ordinary()); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			return err
		}
		time.Sleep(3 * requestInterval)
		return nil
	}})
	e.checkServes()
	e.checkBounds()
}
