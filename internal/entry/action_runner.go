package entry

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/settings"
)

// actionRunner performs actions of the control thread. It passes those for peers
// to the peer runner and all others to the platform runner.
type actionRunner struct {
	platform *control.PlatformRunner
	peers    *peer.Runner
}

// Run implements control.Runner.
func (r actionRunner) Run(ctx context.Context, a fleet.Action) fleet.Event {
	if action, ok := a.(fleet.PeerAction); ok {
		return r.peers.Run(ctx, action)
	}
	return r.platform.Run(ctx, a)
}

func seedMembers(list []settings.Seed) []link.Member {
	members := make([]link.Member, 0, len(list))
	for _, s := range list {
		members = append(members, link.Member{ID: s.ID, DataCentre: s.DataCentre, Address: s.Address})
	}
	return members
}
