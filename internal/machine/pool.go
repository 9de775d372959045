package machine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Pool is a set of instances that serve the same services. Its members are the
// instances whose record names it.
type Pool struct {
	Name string
	// Spare is the pool that replacements come from and surplus goes back to;
	// empty means none.
	Spare string
	// Target is the number of members. Zero switches replacement off.
	Target int
	// Members are ordered by data centre, rack and id.
	Members []*Instance
}

// SortByDomain orders instances by data centre, rack and id, so that a walk over
// them finishes one failure domain before the next.
func SortByDomain(list []*Instance) {
	slices.SortFunc(list, func(x, y *Instance) int {
		return cmp.Or(
			strings.Compare(x.DataCentre, y.DataCentre), strings.Compare(x.Rack, y.Rack), strings.Compare(x.ID, y.ID),
		)
	})
}

// Draws returns how many instances to take from the spare pool. Lost is the
// number of members that are to be replaced, borrow the number of additional
// members that a wave needs, incoming the number of moves under way.
func (p *Pool) Draws(lost, borrow, incoming int) int {
	if p.Target == 0 || p.Spare == "" {
		return 0
	}
	usable := len(p.Members) - lost
	return max(0, min(lost+borrow, p.Target+borrow-usable)-incoming)
}

// Surplus returns how many members the pool has above its target and borrow.
func (p *Pool) Surplus(borrow int) int {
	if p.Target == 0 || p.Spare == "" {
		return 0
	}
	return max(0, len(p.Members)-p.Target-borrow)
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
