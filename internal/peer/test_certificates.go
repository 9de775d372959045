package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// caFileName is the name of the CA certificate's file.
const caFileName = "ca.pem"

// clockSkewAllowance backdates the start of a certificate's validity, so that
// members whose clocks are behind the issuer's accept it.
const clockSkewAllowance = time.Hour

// MemberTLSFiles returns the paths of the files that WriteTestCertificates
// writes for member below dir.
func MemberTLSFiles(dir, member string) TLSFiles {
	return TLSFiles{
		CA:          filepath.Join(dir, caFileName),
		Certificate: filepath.Join(dir, member+".pem"),
		Key:         filepath.Join(dir, member+".key"),
	}
}

// WriteTestCertificates creates a CA and writes its certificate, and a
// certificate and private key for each member, below dir. It discards the CA's
// private key, so no member can be added later. Use it for tests and demos only.
func WriteTestCertificates(dir string, members []string, now time.Time, validity time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "certificates")
	}
	ca, caKey, err := newTestCA(now, validity)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, caFileName), "CERTIFICATE", ca.Raw, 0o644); err != nil {
		return err
	}
	for _, member := range members {
		if err := writeMemberCertificate(MemberTLSFiles(dir, member), member, ca, caKey, now, validity); err != nil {
			return err
		}
	}
	return nil
}

func newTestCA(now time.Time, validity time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "CA key")
	}
	template := &x509.Certificate{
		SerialNumber:          serialNumber(),
		Subject:               pkix.Name{CommonName: "crocusjunction test CA"},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(validity),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "CA certificate")
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, errors.Wrap(err, "CA certificate")
	}
	return ca, key, nil
}

func writeMemberCertificate(f TLSFiles, member string, ca *x509.Certificate, caKey *ecdsa.PrivateKey, now time.Time, validity time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "member key")
	}
	template := &x509.Certificate{
		SerialNumber: serialNumber(),
		Subject:      pkix.Name{CommonName: member},
		DNSNames:     []string{member},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrapf(err, "certificate of %s", member)
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "key of %s", member)
	}
	if err := writePEM(f.Certificate, "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	return writePEM(f.Key, "PRIVATE KEY", privateKey, 0o600)
}

func serialNumber() *big.Int {
	var bytes [16]byte
	_, _ = rand.Read(bytes[:])
	return new(big.Int).SetBytes(bytes[:])
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(path, data, mode); err != nil {
		return errors.Wrap(err, "certificates")
	}
	return nil
}
