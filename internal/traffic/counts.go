package traffic

import (
	"sort"
	"sync"
	"sync/atomic"
)

// counters counts outcomes by team.
type counters struct{ byTeam sync.Map }

type teamCounter struct{ answered, notRun, unknown atomic.Int64 }

// TeamCounts are the outcomes of one team's requests at this entry instance.
type TeamCounts struct {
	// Team is empty for requests that were refused before authentication.
	Team     string `json:"team"`
	Answered int64  `json:"answered"`
	NotRun   int64  `json:"not_run"`
	Unknown  int64  `json:"unknown"`
}

func (c *counters) add(team string, kind OutcomeKind) {
	known, ok := c.byTeam.Load(team)
	if !ok {
		known, _ = c.byTeam.LoadOrStore(team, new(teamCounter))
	}
	counter := known.(*teamCounter)
	switch kind {
	case Answered:
		counter.answered.Add(1)
	case NotRun:
		counter.notRun.Add(1)
	default:
		counter.unknown.Add(1)
	}
}

// Counts returns the outcomes so far, ordered by team.
func (h *Handler) Counts() []TeamCounts {
	list := []TeamCounts{}
	h.counts.byTeam.Range(func(team, counter any) bool {
		c := counter.(*teamCounter)
		list = append(list, TeamCounts{
			Team: team.(string), Answered: c.answered.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		})
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// DroppedCounts counts the answers of endpoints that were not delivered.
type DroppedCounts struct {
	// Foreign answers named another request.
	Foreign int64 `json:"foreign"`
	// Late answers named an earlier attempt or arrived on an idle connection.
	Late int64 `json:"late"`
	// Short answers ended before their declared length or declared none.
	Short int64 `json:"short"`
	// Long answers exceeded their declared length or the limit.
	Long int64 `json:"long"`
}
