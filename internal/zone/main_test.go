package zone

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
