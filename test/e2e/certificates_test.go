package e2e

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/settings"
)

// testMembers are the member IDs for which TestMain writes certificates.
var testMembers = []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8", "entry-9"}

// certificates returns the TLS settings of a member of testMembers. All members
// share the CA that TestMain has created.
func certificates(t *testing.T, member string) settings.TLS {
	t.Helper()
	files := peer.MemberTLSFiles(certificateDir, member)
	return settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
}

// certificateDir has the CA and the certificates and keys of testMembers.
var certificateDir string
