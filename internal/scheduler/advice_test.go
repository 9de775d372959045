package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// TestTicketsAreUsable guards against tickets that count as expired when they arrive, so that
// the same workers are asked about for ever, and against those that are used too long.
func TestTicketsAreUsable(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct{ service, took, validity, usable time.Duration }{
		"quick":                           {100 * ms, 105 * ms, 3000 * ms, 2795 * ms},
		"slow":                            {2800 * ms, 2805 * ms, 3000 * ms, 2795 * ms},
		"service time above validity":     {4000 * ms, 4010 * ms, 1000 * ms, 790 * ms},
		"short validity":                  {100 * ms, 110 * ms, 100 * ms, 65 * ms},
		"answer delayed on its way":       {100 * ms, 2100 * ms, 3000 * ms, 800 * ms},
		"service slower than its figure":  {0, 2800 * ms, 1000 * ms, 800 * ms},
		"service quicker than its figure": {2800 * ms, 100 * ms, 3000 * ms, 2800 * ms},
	} {
		sent := time.UnixMilli(1_700_000_000_000)
		now := sent.Add(c.took)
		e := AdviceAnswered{Validity: c.validity, SentAt: sent, ServiceTime: c.service}
		if got := e.usableUntil(now).Sub(now); got != c.usable {
			t.Errorf("%s: usable for %v, want %v", name, got, c.usable)
		}
	}
}

// TestAdviceBatch guards against requests that take so long that their tickets expire before
// the next answer, and against requests about too few workers of a gang.
func TestAdviceBatch(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		advice   policy.Advice
		gang     bool
		failures int
		want     int
	}{
		"quick":                   {policy.Advice{Decision: 50 * ms, PerWorker: 10 * ms, Validity: 3000 * ms}, false, 0, 30},
		"slow for each worker":    {policy.Advice{Decision: 400 * ms, PerWorker: 80 * ms, Validity: 3000 * ms}, false, 0, 13},
		"a gang":                  {policy.Advice{Decision: 400 * ms, PerWorker: 80 * ms, Validity: 3000 * ms}, true, 0, 30},
		"slow decision":           {policy.Advice{Decision: 2000 * ms, PerWorker: 100 * ms, Validity: 3000 * ms}, false, 0, 20},
		"one worker takes longer": {policy.Advice{Decision: 400 * ms, PerWorker: 4000 * ms, Validity: 3000 * ms}, false, 0, 1},
		"no figures":              {policy.Advice{}, false, 0, 30},
		"two failures":            {policy.Advice{}, false, 2, 7},
		"many failures":           {policy.Advice{}, false, 1000, 1},
	} {
		if got := adviceBatch(c.advice, c.gang, c.failures); got != c.want {
			t.Errorf("%s: %d workers, want %d", name, got, c.want)
		}
	}
}
