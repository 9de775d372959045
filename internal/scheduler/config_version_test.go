package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// TestConfigurationSupersededByAcceptedJob guards against a scheduler that starts a job of
// a queue which it has not read yet, and then refuses the queue's callers.
func TestConfigurationSupersededByAcceptedJob(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	apply := func(s *Scheduler, part Part, c Change) {
		Synced{Part: part, Changes: []Change{c}, SentAt: now}.Apply(s, now)
	}
	config := func(version int64) Change {
		return ConfigChanged{policy.New(version, nil, nil, nil, policy.RequestLimits{})}
	}
	accepted := JobAccepted{job.New("0123456789abcdef", job.Terms{Queue: "added", ConfigVersion: 2}, job.Spec{}, now.UnixMilli(), 1)}

	s := New(Options{})
	apply(s, OperatorPart, config(1))
	if s.ConfigSuperseded() {
		t.Error("superseded before a job was accepted by a newer version")
	}
	apply(s, JobsPart, accepted)
	if !s.ConfigSuperseded() {
		t.Error("version 1 counts as the newest after a job was accepted by version 2")
	}
	apply(s, OperatorPart, config(2))
	if s.ConfigSuperseded() {
		t.Error("superseded after version 2 was read")
	}

	s = New(Options{})
	apply(s, OperatorPart, config(1))
	QuarantineRead{configRecord(2)}.apply(s, now)
	apply(s, JobsPart, accepted)
	if s.ConfigSuperseded() {
		t.Error("the node waits for a version in quarantine, which is never applied")
	}
}
