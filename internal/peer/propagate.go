package peer

import (
	"context"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Timeouts and retry delay of a propagation.
const (
	// propagationTimeout bounds the wait for confirmations. Instances that have
	// not confirmed by then still receive the revision through probes or the
	// platform watch.
	propagationTimeout = 2 * time.Second
	// relayAttemptTimeout bounds the wait for one instance of another data
	// centre. It exceeds forwardTimeout, the time for which that instance waits
	// for the others of its data centre.
	relayAttemptTimeout = forwardTimeout + 200*time.Millisecond
	// propagationRetryDelay is the delay before the relay to a data centre is
	// retried.
	propagationRetryDelay = 100 * time.Millisecond
)

// Propagate sends a revision to all data centres of the plan and returns the
// confirmation of each, in the order of the plan. It returns when all have
// confirmed or after propagationTimeout.
func (r *Runner) Propagate(ctx context.Context, c EventSender, plan fleet.PropagationPlan) []fleet.DataCentreConfirmation {
	timeoutCtx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	confirmations := make([]fleet.DataCentreConfirmation, len(plan.DataCentres))
	var group sync.WaitGroup
	for i, dataCentre := range plan.DataCentres {
		group.Go(func() { confirmations[i] = r.propagateTo(timeoutCtx, c, plan.Relay, dataCentre) })
	}
	group.Wait()
	return confirmations
}

// propagateTo sends the relay to one data centre, and retries until all of its
// instances have confirmed or ctx is done.
func (r *Runner) propagateTo(ctx context.Context, c EventSender, relay fleet.Relay, dataCentre fleet.DataCentrePlan) fleet.DataCentreConfirmation {
	result := fleet.DataCentreConfirmation{DataCentre: dataCentre.Name, Own: dataCentre.Own, Instances: len(dataCentre.Members)}
	if dataCentre.Own {
		result.Instances++
	}
	if result.Instances == 0 {
		result.Reason = "no entry instance of the data centre is known"
		return result
	}
	for {
		if dataCentre.Own {
			result.Missing = r.forwardRelay(ctx, c, relay, dataCentre.Members)
			result.Reason = "instances of the local data centre have not confirmed the revision"
			result.Confirmed = len(result.Missing) == 0
		} else {
			r.propagateThroughMember(ctx, c, relay, dataCentre.Members, &result)
		}
		if result.Confirmed {
			result.Reason = ""
			return result
		}
		if !sleep(ctx, propagationRetryDelay) {
			return result
		}
	}
}

// propagateThroughMember sends the relay to the members in turn until one
// replies. That member forwards the relay within its data centre.
func (r *Runner) propagateThroughMember(ctx context.Context, c EventSender, relay fleet.Relay, members []link.Member, result *fleet.DataCentreConfirmation) {
	relay.Forward = true
	for _, m := range members {
		timeoutCtx, cancel := context.WithTimeout(ctx, relayAttemptTimeout)
		event := r.relay(timeoutCtx, fleet.SendRelay{To: m, Relay: relay})
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
		result.Reason = "instances of the data centre have not confirmed the revision"
		return
	}
}

// sleep waits for d and returns false when ctx is done first.
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
