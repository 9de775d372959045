package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

var epoch = time.Unix(1000, 0)

// history is the actual sequence of commits, which a process knows only through
// evidence.
type history struct {
	now     time.Time
	commits []time.Time
}

func (h *history) advance(d time.Duration) { h.now = h.now.Add(d) }

// headAt returns the newest revision at the given time.
func (h *history) headAt(at time.Time) uint64 {
	n := uint64(0)
	for _, c := range h.commits {
		if !c.After(at) {
			n++
		}
	}
	return n
}

// headBefore returns the newest revision that was committed before the given
// time. A commit at the instant of a read may be ordered after the read.
func (h *history) headBefore(at time.Time) uint64 { return h.headAt(at.Add(-1)) }

// TestFreshnessNeverOverstates guards against evidence that advances AsOf too
// far: the process must have every change that was committed before AsOf.
// Answers arrive late, twice and in any order, and peers may have higher
// revisions.
func TestFreshnessNeverOverstates(t *testing.T) {
	proptest.Check(t, 1, func(t *rapid.T) {
		h := &history{now: epoch}
		f := NewFreshness(4 * time.Second)
		own := uint64(0)
		var pastAnswers []func()
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.advance(ms("pause", 1500))
			switch rapid.SampledFrom([]string{"commit", "apply", "read", "peer", "late", "fail"}).Draw(t, "step") {
			case "commit":
				h.commits = append(h.commits, h.now)
			case "apply":
				own = min(own+1, uint64(len(h.commits)))
				f.Applied(own)
			case "read":
				sent := h.now.Add(-ms("read time", 900))
				own = max(own, h.headAt(sent))
				f.Applied(own)
				f.RecordRead(sent)
			case "peer":
				sent := h.now.Add(-ms("probe time", 900))
				answered := sent.Add(ms("time to peer", int(h.now.Sub(sent).Milliseconds())))
				asOf := answered.Add(-ms("age", 3000))
				revision := h.headAt(asOf) + uint64(rapid.IntRange(0, int(h.headAt(answered)-h.headAt(asOf))).Draw(t, "ahead"))
				deliver := func() { f.PeerAnswered(sent, revision, answered.Sub(asOf)) }
				pastAnswers = append(pastAnswers, deliver)
				if rapid.Bool().Draw(t, "in time") {
					deliver()
				}
			case "late":
				if len(pastAnswers) > 0 {
					rapid.SampledFrom(pastAnswers).Draw(t, "answer")()
				}
			case "fail":
				f.RecordReadFailure(h.now)
			}
			if !f.AsOf().IsZero() && h.headBefore(f.AsOf()) > own {
				t.Fatalf("AsOf is %s, own revision %d, but the head was at %d", f.AsOf(), own, h.headBefore(f.AsOf()))
			}
		}
	})
}

// TestOutageEvidenceNeedsEveryDataCentre guards against outage evidence without
// an answer of every other data centre, or with an answer that has a newer
// revision or belongs to a probe sent before the outage.
func TestOutageEvidenceNeedsEveryDataCentre(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	newOutage := func() (*Freshness, *OutageEvidence) {
		f := NewFreshness(4 * time.Second)
		f.Applied(5)
		f.RecordRead(at(0))
		return &f, NewOutageEvidence([]string{"b", "c"})
	}
	t.Run("all answered", func(t *testing.T) {
		f, o := newOutage()
		f.RecordReadFailure(at(1))
		o.DataCentreAnswered(f, "b", at(3), 5)
		o.DataCentreAnswered(f, "c", at(2), 4)
		if !f.AsOf().Equal(at(2)) {
			t.Errorf("AsOf is %s, want the time of the oldest answered probe", f.AsOf())
		}
	})
	cases := map[string]func(f *Freshness, o *OutageEvidence){
		"platform reachable": func(f *Freshness, o *OutageEvidence) {
			o.DataCentreAnswered(f, "b", at(2), 5)
			o.DataCentreAnswered(f, "c", at(2), 5)
		},
		"one missing": func(f *Freshness, o *OutageEvidence) {
			f.RecordReadFailure(at(1))
			o.DataCentreAnswered(f, "b", at(2), 5)
			o.DataCentreAnswered(f, "b", at(3), 5)
		},
		"one ahead": func(f *Freshness, o *OutageEvidence) {
			f.RecordReadFailure(at(1))
			o.DataCentreAnswered(f, "b", at(2), 5)
			o.DataCentreAnswered(f, "c", at(2), 6)
		},
		"from before the outage": func(f *Freshness, o *OutageEvidence) {
			o.DataCentreAnswered(f, "c", at(1), 5)
			f.RecordReadFailure(at(2))
			o.DataCentreAnswered(f, "b", at(3), 5)
		},
		"unknown data centre": func(f *Freshness, o *OutageEvidence) {
			f.RecordReadFailure(at(1))
			o.DataCentreAnswered(f, "b", at(2), 5)
			o.DataCentreAnswered(f, "d", at(2), 5)
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			f, o := newOutage()
			steps(f, o)
			if !f.AsOf().Equal(at(0)) {
				t.Errorf("AsOf is %s, want the time of the last read", f.AsOf())
			}
		})
	}
}

// TestFreshBounds guards against work that starts beyond the horizon, and
// against a bound beyond the horizon that applies although the process has
// observed a newer revision.
func TestFreshBounds(t *testing.T) {
	f := NewFreshness(4 * time.Second)
	if f.Fresh(time.Hour, epoch) {
		t.Error("fresh without evidence")
	}
	f.Applied(3)
	f.RecordRead(epoch)
	for _, c := range []struct {
		after, bound time.Duration
		newest       uint64
		want         bool
	}{
		{4 * time.Second, 0, 3, true},
		{4*time.Second + 1, 0, 3, false},
		{4*time.Second + 1, time.Second, 3, false},
		{9 * time.Second, 10 * time.Second, 3, true},
		{3 * time.Second, 10 * time.Second, 4, true},
		{9 * time.Second, 10 * time.Second, 4, false},
	} {
		f.ObserveRevision(c.newest)
		if got := f.Fresh(c.bound, epoch.Add(c.after)); got != c.want {
			t.Errorf("after %s, bound %s, newest revision %d: fresh is %t", c.after, c.bound, c.newest, got)
		}
	}
}
