package peer

import (
	"context"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Times of a spread.
const (
	// spreadTimeout bounds the wait for confirmations. What is not confirmed by
	// then still arrives by probes or the watch.
	spreadTimeout = 2 * time.Second
	// spreadTryTimeout bounds the wait for one instance of another data centre,
	// which itself waits for forwardTimeout.
	spreadTryTimeout = forwardTimeout + 200*time.Millisecond
	// spreadPause is the pause before a data centre is asked again.
	spreadPause = 100 * time.Millisecond
)

// Spread passes a revision on to all data centres of the plan and returns what
// each one confirmed, in the order of the plan. It returns when all have
// confirmed or spreadTimeout has passed.
func (r *Runner) Spread(ctx context.Context, c Control, plan fleet.SpreadPlan) []fleet.CentreConfirmation {
	limited, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	list := make([]fleet.CentreConfirmation, len(plan.Centres))
	var group sync.WaitGroup
	for i, centre := range plan.Centres {
		group.Go(func() { list[i] = r.spreadTo(limited, c, plan.Relay, centre) })
	}
	group.Wait()
	return list
}

// spreadTo asks one data centre until it has confirmed or ctx ends.
func (r *Runner) spreadTo(ctx context.Context, c Control, relay fleet.Relay, centre fleet.CentrePlan) fleet.CentreConfirmation {
	result := fleet.CentreConfirmation{DataCentre: centre.Name, Own: centre.Own, Instances: len(centre.Members)}
	if centre.Own {
		result.Instances++
	}
	if result.Instances == 0 {
		result.Reason = "no entry instance of the data centre is known"
		return result
	}
	for {
		if centre.Own {
			result.Missing = r.forward(ctx, c, relay, centre.Members)
			result.Reason = "instances of the own data centre have not confirmed"
			result.Confirmed = len(result.Missing) == 0
		} else {
			r.spreadThrough(ctx, c, relay, centre.Members, &result)
		}
		if result.Confirmed {
			result.Reason = ""
			return result
		}
		if !sleep(ctx, spreadPause) {
			return result
		}
	}
}

// spreadThrough lets the first member that answers pass the relay on in its
// data centre.
func (r *Runner) spreadThrough(ctx context.Context, c Control, relay fleet.Relay, members []link.Member, result *fleet.CentreConfirmation) {
	relay.Spread = true
	for _, m := range members {
		limited, cancel := context.WithTimeout(ctx, spreadTryTimeout)
		event := r.relay(limited, fleet.SendRelay{To: m, Relay: relay})
		cancel()
		_ = c.Send(ctx, event)
		answered, ok := event.(fleet.RelayAnswered)
		if !ok {
			result.Reason = "no entry instance of the data centre answered"
			continue
		}
		result.Missing = answered.Reply.Missing
		if answered.Reply.Revision < relay.Revision {
			result.Missing = append(result.Missing, m.ID)
		}
		result.Confirmed = len(result.Missing) == 0
		result.Reason = "instances of the data centre have not confirmed"
		return
	}
}

// sleep waits for d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
