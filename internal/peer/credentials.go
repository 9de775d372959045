package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// protocolName is the ALPN protocol name of the peer transport.
const protocolName = "crocusjunction-peer/1"

// TLSFiles are the paths of a node's PEM files.
type TLSFiles struct {
	// CA contains the CA certificates that member certificates are verified
	// against.
	CA string
	// Certificate and Key are this member's certificate and private key. The
	// certificate must contain the member id as a DNS name.
	Certificate, Key string
}

// ErrPeerCertificate means that a peer's certificate is missing, is not valid or
// does not name the member that sent the message.
var ErrPeerCertificate = errors.New("peer certificate refused")

// credentials load a node's certificate, private key and CA. They reload them
// when a file has changed, so that new connections use rotated keys. They are
// safe for concurrent use.
type credentials struct {
	files  TLSFiles
	mu     sync.Mutex
	stamps [3]fileStamp
	loaded *loadedKeys
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// loadedKeys are the contents of the files after one load.
type loadedKeys struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// current returns the keys on disk. When a changed file cannot be loaded, for
// example in the middle of a rotation, it returns the keys of the last
// successful load.
func (c *credentials) current() (*loadedKeys, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.statFiles()
	if err == nil && c.loaded != nil && stamps == c.stamps {
		return c.loaded, nil
	}
	if err == nil {
		var keys *loadedKeys
		if keys, err = loadKeys(c.files); err == nil {
			c.loaded, c.stamps = keys, stamps
			return keys, nil
		}
	}
	if c.loaded != nil {
		return c.loaded, nil
	}
	return nil, err
}

func (c *credentials) statFiles() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{c.files.CA, c.files.Certificate, c.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "peer credentials")
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func loadKeys(f TLSFiles) (*loadedKeys, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "peer CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("peer CA: no PEM certificate in %s", f.CA)
	}
	return &loadedKeys{certificate: certificate, roots: roots}, nil
}

// clientTLS returns the TLS configuration for a new outgoing connection.
func (c *credentials) clientTLS() (*tls.Config, error) {
	keys, err := c.current()
	if err != nil {
		return nil, err
	}
	return keys.tlsConfig(x509.ExtKeyUsageServerAuth), nil
}

// serverTLS returns a TLS configuration that uses the current keys for each
// incoming connection.
func (c *credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys, err := c.current()
			if err != nil {
				return nil, err
			}
			return keys.tlsConfig(x509.ExtKeyUsageClientAuth), nil
		},
	}
}

// tlsConfig returns a TLS configuration that verifies the peer's certificate
// against the CA. Members are dialled by address, so the host name check of
// crypto/tls is disabled; the node compares the member id in the certificate
// with the sender of each message instead.
func (k *loadedKeys) tlsConfig(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		Certificates:           []tls.Certificate{k.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verify(s.PeerCertificates, usage)
		},
	}
}

func (k *loadedKeys) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrPeerCertificate, "no certificate presented")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: k.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(ErrPeerCertificate, err.Error())
	}
	return nil
}

// certificateNamesMember reports whether the peer's certificate contains the
// member id as a DNS name.
func certificateNamesMember(s tls.ConnectionState, id string) bool {
	if len(s.PeerCertificates) == 0 {
		return false
	}
	for _, name := range s.PeerCertificates[0].DNSNames {
		if name == id {
			return true
		}
	}
	return false
}
