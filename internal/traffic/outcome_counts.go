package traffic

import (
	"sort"
	"sync"
	"sync/atomic"
)

// outcomeCounters counts request outcomes by team. It is safe for concurrent
// use.
type outcomeCounters struct{ byTeam sync.Map }

type teamCounter struct{ answered, notRun, unknown atomic.Int64 }

// TeamCounts counts the outcomes of one team's requests at this entry instance
// since it started.
type TeamCounts struct {
	// Team is empty for requests that were refused before authentication.
	Team     string `json:"team"`
	Answered int64  `json:"answered"`
	NotRun   int64  `json:"not_run"`
	Unknown  int64  `json:"unknown"`
}

func (c *outcomeCounters) add(team string, kind OutcomeKind) {
	value, ok := c.byTeam.Load(team)
	if !ok {
		value, _ = c.byTeam.LoadOrStore(team, new(teamCounter))
	}
	counter := value.(*teamCounter)
	switch kind {
	case Answered:
		counter.answered.Add(1)
	case NotRun:
		counter.notRun.Add(1)
	default:
		counter.unknown.Add(1)
	}
}

// OutcomeCounts returns the outcome counts of all teams, sorted by team name.
func (h *Handler) OutcomeCounts() []TeamCounts {
	list := []TeamCounts{}
	h.outcomes.byTeam.Range(func(team, counter any) bool {
		c := counter.(*teamCounter)
		list = append(list, TeamCounts{
			Team: team.(string), Answered: c.answered.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		})
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// DroppedCounts counts the endpoint answers that were discarded instead of
// delivered to a caller, by cause.
type DroppedCounts struct {
	// Foreign answers carried the id of another request.
	Foreign int64 `json:"foreign"`
	// Late answers belonged to an earlier attempt or arrived on an idle
	// connection.
	Late int64 `json:"late"`
	// Short answers ended before their declared length or declared no length.
	Short int64 `json:"short"`
	// Long answers exceeded their declared length or the size limit.
	Long int64 `json:"long"`
}
