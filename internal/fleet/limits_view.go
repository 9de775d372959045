package fleet

import (
	"sort"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// LimitView is the state of one limit at one entry instance, for operators.
type LimitView struct {
	Limit contract.Ref `json:"limit"`
	// Slots is the limit across the fleet, 0 when Unbounded.
	Slots     int    `json:"slots"`
	Unbounded bool   `json:"unbounded,omitempty"`
	Revision  uint64 `json:"revision"`
	// Held, Running, Lent, Borrowed and Waiting count slots and requests of this
	// instance only.
	Held     int `json:"held"`
	Running  int `json:"running"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
	Waiting  int `json:"waiting"`
	// Settled is false until the recorded slots of all holders are known to be
	// within a changed limit. No work starts until then.
	Settled bool `json:"settled"`
}

// LimitsReport is the answer to LimitsQuery.
type LimitsReport struct {
	Holder    contract.Holder `json:"holder"`
	HoldUntil time.Time       `json:"hold_until"`
	HoldValid bool            `json:"hold_valid"`
	Stopping  bool            `json:"stopping,omitempty"`
	Limits    []LimitView     `json:"limits"`
}

// LimitsQuery asks for the state of all limits at this instance. Reply must have
// a free buffer place.
type LimitsQuery struct{ Reply chan<- LimitsReport }

// Apply implements Event.
func (e LimitsQuery) Apply(f *Fleet, now time.Time) []Action {
	report := LimitsReport{
		Holder: f.limits.hold.Holder(), HoldUntil: f.limits.hold.ValidUntil(),
		HoldValid: f.limits.hold.Valid(now), Stopping: f.limits.stopping,
	}
	f.createAllotments()
	for _, a := range f.limits.ordered {
		if a.Limit().Unbounded && a.Ref().Kind == contract.KindDocument {
			continue
		}
		report.Limits = append(report.Limits, f.limitView(now, a.Ref(), a))
	}
	sort.Slice(report.Limits, func(i, j int) bool {
		return report.Limits[i].Limit.String() < report.Limits[j].Limit.String()
	})
	e.Reply <- report
	return nil
}

// createAllotments creates the allotments of limits that no request has used at
// this instance.
func (f *Fleet) createAllotments() {
	for _, o := range f.register.List(contract.KindTeam) {
		f.allotment(o.Ref)
	}
	for _, o := range f.register.List(contract.KindDocument) {
		if o.Document.MaxSlots > 0 {
			f.allotment(o.Ref)
		}
	}
}

func (f *Fleet) limitView(now time.Time, ref contract.Ref, a *contract.Allotment) LimitView {
	limit := a.Limit()
	return LimitView{
		Limit: ref, Slots: limit.Slots, Unbounded: limit.Unbounded, Revision: limit.Revision,
		Held: a.Granted(), Running: a.Running(), Lent: a.Lent(), Borrowed: a.Borrowed(now),
		Waiting: f.limits.queue.Waiting(ref), Settled: a.Settled(),
	}
}

// subjectOf returns the subject of decisions on a limit.
func subjectOf(ref contract.Ref) Subject {
	if ref.Kind == contract.KindTeam {
		return Subject{Kind: SubjectTeam, Name: ref.Name}
	}
	return Subject{Kind: SubjectTeam, Name: ref.String()}
}

func limitText(l contract.Limit) string {
	if l.Unbounded {
		return "no bound"
	}
	return strconv.Itoa(l.Slots)
}

func intInput(name string, value int) Input { return Input{Name: name, Value: strconv.Itoa(value)} }
