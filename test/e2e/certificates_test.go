package e2e

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/settings"
)

// testMembers are the ids that the test certificates name.
var testMembers = []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8", "entry-9"}

// certificates returns the TLS settings of one of testMembers. All members of
// one run of the tests share a CA.
func certificates(t *testing.T, member string) settings.TLS {
	t.Helper()
	files := peer.FilesIn(certificateDir, member)
	return settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
}

// certificateDir holds a certificate for each of testMembers.
var certificateDir string
