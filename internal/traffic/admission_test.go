package traffic_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// TestLostAttemptKeepsItsSlot guards against a slot that is used again, for a
// retry or for another request, while an endpoint may go on with a lost attempt.
func TestLostAttemptKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			service string
			fault   fault
			// kept says for each slot whether it is kept until the deadline.
			kept []bool
		}{
			{deposits, faultNone, []bool{false}},
			{deposits, faultLostRun, []bool{true}},
			{deposits, faultDial, []bool{false}},
			{stock, faultLostRun, []bool{true, false}},
		} {
			w := newWorld()
			w.faults = []fault{c.fault}
			deadline := time.Now().Add(time.Second)
			r := traffic.Request{ID: "c1", Service: c.service, Secret: secret, Body: []byte("w1"), Deadline: deadline}
			w.call(w.nodes[0], r, "w1")
			var want []fleet.Release
			for _, kept := range c.kept {
				release := fleet.Release{Team: "depots", Service: c.service}
				if kept {
					release.Until = deadline
				}
				want = append(want, release)
			}
			if diff := cmp.Diff(want, w.releases); diff != "" {
				t.Errorf("%s with fault %d (-want +got):\n%s", c.service, c.fault, diff)
			}
		}
	})
}
