package invariant

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "rapid.checks", "500") }
