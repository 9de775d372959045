package peer

import (
	"context"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// forwardTimeout bounds how long a relay waits for the other instances of the
// data centre. It is below DefaultTimeout, so that the reply still arrives.
const forwardTimeout = time.Second

// Control takes events for the control thread.
type Control interface {
	Send(ctx context.Context, e fleet.Event) error
}

// Attach sets the handlers that hand the messages of the configuration to the
// control thread. It must be called before Serve.
func (r *Runner) Attach(c Control) {
	r.node.Handle(KindProbe, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		var probe fleet.Probe
		reply := make(chan fleet.ProbeReply, 1)
		return answer(ctx, c, body, &probe, reply, func() fleet.Event {
			return fleet.ProbeReceived{From: from, Probe: probe, Reply: reply}
		})
	})
	r.node.Handle(KindFetchChanges, func(ctx context.Context, _ link.Member, _ Kind, body []byte) ([]byte, error) {
		var request fleet.ChangesRequest
		reply := make(chan fleet.ChangesReply, 1)
		return answer(ctx, c, body, &request, reply, func() fleet.Event {
			return fleet.ChangesRequested{Request: request, Reply: reply}
		})
	})
	r.node.Handle(KindLeaving, func(ctx context.Context, from link.Member, _ Kind, _ []byte) ([]byte, error) {
		return nil, c.Send(ctx, fleet.PeerLeaving{From: from})
	})
	r.node.Handle(KindLoanRequest, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		return loanRequested(ctx, c, from, body)
	})
	r.node.Handle(KindLoanReturn, func(ctx context.Context, _ link.Member, _ Kind, body []byte) ([]byte, error) {
		return loanReturned(ctx, c, body)
	})
	r.node.Handle(KindRelay, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		return r.relayReceived(ctx, c, from, body)
	})
}

// answer decodes a message, hands it to the control thread as an event and
// encodes the reply.
func answer[Reply any](ctx context.Context, c Control, body []byte, message any, reply <-chan Reply, event func() fleet.Event) ([]byte, error) {
	value, err := ask(ctx, c, body, message, reply, event)
	if err != nil {
		return nil, err
	}
	return EncodeBody(value)
}

func ask[Reply any](ctx context.Context, c Control, body []byte, message any, reply <-chan Reply, event func() fleet.Event) (Reply, error) {
	var none Reply
	if err := DecodeBody(body, message); err != nil {
		return none, err
	}
	if err := c.Send(ctx, event()); err != nil {
		return none, err
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// relayReceived applies a relay and, when asked to, passes it on to the other
// instances of the data centre and reports those that did not confirm it.
func (r *Runner) relayReceived(ctx context.Context, c Control, from link.Member, body []byte) ([]byte, error) {
	var relay fleet.Relay
	plans := make(chan fleet.RelayPlan, 1)
	plan, err := ask(ctx, c, body, &relay, plans, func() fleet.Event {
		return fleet.RelayReceived{From: from, Relay: relay, Reply: plans}
	})
	if err != nil {
		return nil, err
	}
	reply := fleet.RelayReply{Revision: plan.Revision}
	if len(plan.Forward) > 0 {
		reply.Missing = r.forward(ctx, c, relay, plan.Forward)
	}
	return EncodeBody(reply)
}

// forward sends the relay to all members at once and returns the ids of those
// that are not at its revision afterwards.
func (r *Runner) forward(ctx context.Context, c Control, relay fleet.Relay, members []link.Member) []string {
	limited, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	relay.Spread = false
	confirmed := make([]bool, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() {
			event := r.relay(limited, fleet.SendRelay{To: m, Relay: relay})
			if answered, ok := event.(fleet.RelayAnswered); ok {
				confirmed[i] = answered.Reply.Revision >= relay.Revision
			}
			_ = c.Send(ctx, event)
		})
	}
	group.Wait()
	var missing []string
	for i, ok := range confirmed {
		if !ok {
			missing = append(missing, members[i].ID)
		}
	}
	return missing
}
