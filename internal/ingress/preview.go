package ingress

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Preview returns whether this node would accept a job of a team for a queue now, by the
// configuration and by capacity, and the terms that the job would get. Nothing is stored.
// The reason of a refusal by the configuration names the field.
func (s *Service) Preview(queueName, team string, spec job.Spec) (job.Terms, Answer) {
	view, now := s.control.View(), s.clock()
	refuse := func(code Code, reason string) (job.Terms, Answer) {
		return job.Terms{}, Answer{Code: code, Reason: reason, Queue: queueName, Team: team}
	}
	if view.Config == nil {
		return refuse(NotRun, "no configuration has been read yet")
	}
	if age := now.Sub(view.ConfigAsOf); age > s.maxConfigAge || view.ConfigSuperseded {
		return refuse(NotRun, "the configuration may be out of date: its age is "+age.Round(time.Millisecond).String())
	}
	queue, ok := view.Config.Queue(queueName)
	if !ok {
		return refuse(NoQueue, "queue: the configuration has no queue "+queueName)
	}
	t, ok := view.Config.Team(team)
	switch {
	case team == "" && !queue.Public:
		return refuse(BadKey, "team: queue "+queueName+" accepts jobs with the key of a team only")
	case team != "" && !ok:
		return refuse(BadKey, "team: the configuration has no team "+team)
	case team != "" && len(t.Keys) == 0:
		return refuse(BadKey, "team: "+team+" has no key")
	}
	terms := jobTerms(queue, team, view.Config.Version)
	demand := admission.DemandOf(job.New("", terms, spec, now.UnixMilli(), 0), queue.Service, teamLimit(view.Config, team))
	if d := view.Rooms.Decide(demand, time.Time{}, now); !d.Accept {
		return refuse(OverCapacity, d.Reason())
	}
	return terms, Answer{Code: Accepted, Queue: queueName, Team: team, ConfigVersion: view.Config.Version}
}
