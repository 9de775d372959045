package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// protocolName is the ALPN name of the transport.
const protocolName = "crocusjunction-peer/1"

// Files name the PEM files of a node.
type Files struct {
	// CA holds the certificates that sign members.
	CA string
	// Certificate and Key identify this member; the certificate names the
	// member id as a DNS name.
	Certificate, Key string
}

// ErrPeerCertificate means that a peer's certificate is missing or not valid.
var ErrPeerCertificate = errors.New("peer certificate refused")

// credentials are the keys of a node. They are read again when a file changes,
// so that new connections use rotated keys.
type credentials struct {
	files  Files
	mu     sync.Mutex
	stamp  [3]fileStamp
	loaded *loadedKeys
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// loadedKeys are one consistent read of the files.
type loadedKeys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// current returns the keys on disk. When a changed file cannot be read, for
// example in the middle of a rotation, the keys read before stay in use.
func (c *credentials) current() (*loadedKeys, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamp, err := c.stampFiles()
	if err == nil && c.loaded != nil && stamp == c.stamp {
		return c.loaded, nil
	}
	if err == nil {
		var keys *loadedKeys
		if keys, err = readKeys(c.files); err == nil {
			c.loaded, c.stamp = keys, stamp
			return keys, nil
		}
	}
	if c.loaded != nil {
		return c.loaded, nil
	}
	return nil, err
}

func (c *credentials) stampFiles() ([3]fileStamp, error) {
	var stamp [3]fileStamp
	for i, path := range []string{c.files.CA, c.files.Certificate, c.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return stamp, errors.Wrap(err, "peer credentials")
		}
		stamp[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamp, nil
}

func readKeys(f Files) (*loadedKeys, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "peer CA")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("peer CA: %s holds no certificate", f.CA)
	}
	return &loadedKeys{certificate: certificate, authorities: authorities}, nil
}

// clientTLS returns the TLS settings of a new outgoing connection.
func (c *credentials) clientTLS() (*tls.Config, error) {
	keys, err := c.current()
	if err != nil {
		return nil, err
	}
	return keys.config(x509.ExtKeyUsageServerAuth), nil
}

// serverTLS returns TLS settings that read the keys for each new connection.
func (c *credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys, err := c.current()
			if err != nil {
				return nil, err
			}
			return keys.config(x509.ExtKeyUsageClientAuth), nil
		},
	}
}

// config verifies the other side against the CA. Members are dialled by
// address, so the host name check of crypto/tls does not apply; the member id
// in the certificate is compared with the sender of each message instead.
func (k *loadedKeys) config(usage x509.ExtKeyUsage) *tls.Config {
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
		return errors.Wrap(ErrPeerCertificate, "none sent")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: k.authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(ErrPeerCertificate, err.Error())
	}
	return nil
}

// names reports whether the certificate of the connection names the member id.
func names(s tls.ConnectionState, id string) bool {
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
