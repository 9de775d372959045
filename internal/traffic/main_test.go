package traffic_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that every run gives the same
// verdict. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
