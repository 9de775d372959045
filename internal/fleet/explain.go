package fleet

import "time"

// maxDecisions is the number of decisions that a process keeps. At about 300
// bytes each they take 1.2 MB.
const maxDecisions = 4096

// SubjectKind is the kind of object that a decision is about.
type SubjectKind string

// Kinds of subjects.
const (
	SubjectTask       SubjectKind = "task"
	SubjectInstance   SubjectKind = "instance"
	SubjectTeam       SubjectKind = "team"
	SubjectRefusal    SubjectKind = "refusal"
	SubjectWorker     SubjectKind = "worker"
	SubjectDataCentre SubjectKind = "datacentre"
	SubjectEndpoint   SubjectKind = "endpoint"
)

// Subject is the object that a decision is about. The name of a refusal is its
// request id.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// Input is one value that a decision was based on.
type Input struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Decision is one decision of the control thread, kept for explanations.
type Decision struct {
	At      time.Time `json:"at"`
	Subject Subject   `json:"subject"`
	// Action is the decision in one or two words, such as "drain".
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Revision is the configuration revision at the time of the decision.
	Revision uint64  `json:"revision"`
	Inputs   []Input `json:"inputs,omitempty"`
}

// journal is a ring of the most recent decisions.
type journal struct {
	decisions []Decision
	next      int
}

func (j *journal) add(d Decision) {
	if len(j.decisions) < maxDecisions {
		j.decisions = append(j.decisions, d)
		return
	}
	j.decisions[j.next] = d
	j.next = (j.next + 1) % maxDecisions
}

// about returns the decisions on one subject, oldest first.
func (j *journal) about(s Subject) []Decision {
	var list []Decision
	for i := range j.decisions {
		d := j.decisions[(j.next+i)%len(j.decisions)]
		if d.Subject == s {
			list = append(list, d)
		}
	}
	return list
}

// recordDecision records a decision under the current configuration revision.
func (f *Fleet) recordDecision(d Decision) {
	d.Revision = f.register.Revision()
	f.journal.add(d)
}

// ExplainQuery asks for the recorded decisions on one subject, oldest first.
// Reply must have a free buffer place.
type ExplainQuery struct {
	Subject Subject
	Reply   chan<- []Decision
}

// Apply implements Event.
func (e ExplainQuery) Apply(f *Fleet, now time.Time) []Action {
	e.Reply <- f.journal.about(e.Subject)
	return nil
}
