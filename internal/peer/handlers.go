package peer

import (
	"context"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// forwardTimeout bounds how long the receiver of a relay waits for the other
// instances of its data centre. It is below relayAttemptTimeout, so that the
// reply arrives before the sender of the relay times out.
const forwardTimeout = time.Second

// EventSender sends events to the control thread.
type EventSender interface {
	Send(ctx context.Context, e fleet.Event) error
}

// RegisterHandlers registers the handlers of probes, configuration changes,
// departures and loans, which send the received messages to the control thread.
// It must be called before Node.Serve.
func (r *Runner) RegisterHandlers(c EventSender) {
	r.node.Handle(KindProbe, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		var probe fleet.Probe
		reply := make(chan fleet.ProbeReply, 1)
		return askControlAndEncode(ctx, c, body, &probe, reply, func() fleet.Event {
			return fleet.ProbeReceived{From: from, Probe: probe, Reply: reply}
		})
	})
	r.node.Handle(KindFetchChanges, func(ctx context.Context, _ link.Member, _ Kind, body []byte) ([]byte, error) {
		var request fleet.ChangesRequest
		reply := make(chan fleet.ChangesReply, 1)
		return askControlAndEncode(ctx, c, body, &request, reply, func() fleet.Event {
			return fleet.ChangesRequested{Request: request, Reply: reply}
		})
	})
	r.node.Handle(KindLeaving, func(ctx context.Context, from link.Member, _ Kind, _ []byte) ([]byte, error) {
		return nil, c.Send(ctx, fleet.PeerLeaving{From: from})
	})
	r.node.Handle(KindLoanRequest, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		return handleLoanRequest(ctx, c, from, body)
	})
	r.node.Handle(KindLoanReturn, func(ctx context.Context, _ link.Member, _ Kind, body []byte) ([]byte, error) {
		return handleLoanReturn(ctx, c, body)
	})
	r.node.Handle(KindRelay, func(ctx context.Context, from link.Member, _ Kind, body []byte) ([]byte, error) {
		return r.handleRelay(ctx, c, from, body)
	})
}

// askControlAndEncode is like askControl and encodes the reply.
func askControlAndEncode[Reply any](ctx context.Context, c EventSender, body []byte, message any, reply <-chan Reply, event func() fleet.Event) ([]byte, error) {
	value, err := askControl(ctx, c, body, message, reply, event)
	if err != nil {
		return nil, err
	}
	return EncodeBody(value)
}

// askControl decodes body into message, sends the event to the control thread
// and waits for the reply. It calls event after it has decoded message.
func askControl[Reply any](ctx context.Context, c EventSender, body []byte, message any, reply <-chan Reply, event func() fleet.Event) (Reply, error) {
	var zero Reply
	if err := DecodeBody(body, message); err != nil {
		return zero, err
	}
	if err := c.Send(ctx, event()); err != nil {
		return zero, err
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// handleRelay sends a relay to the control thread and forwards it to the
// instances that the control thread returns, if any. The reply names those that
// did not confirm the revision.
func (r *Runner) handleRelay(ctx context.Context, c EventSender, from link.Member, body []byte) ([]byte, error) {
	var relay fleet.Relay
	replies := make(chan fleet.RelayPlan, 1)
	plan, err := askControl(ctx, c, body, &relay, replies, func() fleet.Event {
		return fleet.RelayReceived{From: from, Relay: relay, Reply: replies}
	})
	if err != nil {
		return nil, err
	}
	reply := fleet.RelayReply{Revision: plan.Revision}
	if len(plan.Forward) > 0 {
		reply.Missing = r.forwardRelay(ctx, c, relay, plan.Forward)
	}
	return EncodeBody(reply)
}

// forwardRelay sends the relay to all members concurrently and returns the ids
// of those that did not confirm its revision within forwardTimeout.
func (r *Runner) forwardRelay(ctx context.Context, c EventSender, relay fleet.Relay, members []link.Member) []string {
	timeoutCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	relay.Forward = false
	confirmed := make([]bool, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() {
			event := r.relay(timeoutCtx, fleet.SendRelay{To: m, Relay: relay})
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
