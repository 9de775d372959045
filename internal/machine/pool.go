package machine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Pool is a set of instances that serve the same services. Its members are the
// instances whose records name it.
type Pool struct {
	Name string
	// Spare is the pool from which failed members are replaced and to which
	// surplus members return, empty for none.
	Spare string
	// Target is the number of members. Zero disables replacement.
	Target int
	// Members are ordered by data centre, rack and id.
	Members []*Instance
}

// SortByDomain sorts instances by data centre, rack and id, so that an
// iteration completes one failure domain before the next.
func SortByDomain(list []*Instance) {
	slices.SortFunc(list, func(x, y *Instance) int {
		return cmp.Or(
			strings.Compare(x.DataCentre, y.DataCentre), strings.Compare(x.Rack, y.Rack), strings.Compare(x.ID, y.ID),
		)
	})
}

// SparesNeeded returns how many instances to move from the spare pool. Failed
// is the number of members to replace, extra the number of additional members
// that a wave needs, incoming the number of moves in progress.
func (p *Pool) SparesNeeded(failed, extra, incoming int) int {
	if p.Target == 0 || p.Spare == "" {
		return 0
	}
	usable := len(p.Members) - failed
	return max(0, min(failed+extra, p.Target+extra-usable)-incoming)
}

// Surplus returns how many members the pool has above its target plus extra.
func (p *Pool) Surplus(extra int) int {
	if p.Target == 0 || p.Spare == "" {
		return 0
	}
	return max(0, len(p.Members)-p.Target-extra)
}

// MoveOrder is an operator's order to move one instance, the value of the
// record order/move/<instance>.
type MoveOrder struct {
	Instance string    `json:"instance"`
	Pool     string    `json:"pool"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Revision is the platform's version of the record.
	Revision uint64 `json:"-"`
}
