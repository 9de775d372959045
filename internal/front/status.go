package front

import (
	"context"
	"net/http"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// statusTimeout bounds a query to the control thread and, in configStatus, the
// wait for the confirmations of the other data centres.
const statusTimeout = 5 * time.Second

// ConfigStatus is the JSON answer to GET /v1/config/status. It shows the
// configuration of the answering entry instance, which asks the data centres for
// their confirmations when the query arrives.
type ConfigStatus struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"datacentre"`
	Revision   uint64 `json:"revision"`
	Loaded     bool   `json:"loaded"`
	// Fresh is false while the configuration is too old for work to start.
	Fresh bool `json:"fresh"`
	// AgeMS is the time since the configuration was last confirmed to be the
	// newest, in milliseconds. It is -1 when it was never confirmed.
	AgeMS int64 `json:"age_ms"`
	// HorizonMS is the freshness horizon in milliseconds: the age of the
	// configuration beyond which no work starts unless a document allows more.
	HorizonMS int64 `json:"horizon_ms"`
	// Behind is true while another process has reported a newer revision that this
	// instance does not have.
	Behind       bool `json:"behind"`
	PlatformDown bool `json:"platform_down"`
	// Watches is true when this instance watches the platform on behalf of its
	// data centre.
	Watches bool `json:"watches"`
	Propagation
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the state of another entry instance as the answering one last
// observed it.
type MemberStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"datacentre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	// RoundTripUS is the round-trip time to the member, in microseconds.
	RoundTripUS int64 `json:"round_trip_us"`
	// HeardAgoMS is the time since the last message from the member, in
	// milliseconds. It is -1 when there was none.
	HeardAgoMS int64 `json:"heard_ago_ms"`
	// Silent is true when the member has sent nothing for too long.
	Silent bool `json:"silent"`
}

// configStatus serves GET /v1/config/status.
func (s *Server) configStatus(x *exchange, _ string) {
	queryCtx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := control.Ask(queryCtx, s.deps.Loop, func(reply chan<- fleet.ConfigStatus) fleet.Event {
		return fleet.ConfigStatusQuery{Reply: reply}
	})
	if err != nil {
		writeError(x, http.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return
	}
	answer := newConfigStatus(status)
	answer.Propagation = s.awaitConfirmations(queryCtx, status.Plan)
	writeJSON(x, http.StatusOK, answer)
}

func newConfigStatus(s fleet.ConfigStatus) ConfigStatus {
	answer := ConfigStatus{
		Instance: s.Self.ID, DataCentre: s.Self.DataCentre, Revision: s.Revision, Loaded: s.Loaded, Fresh: s.Fresh,
		AgeMS: -1, HorizonMS: s.Horizon.Milliseconds(), Behind: s.Behind, PlatformDown: s.PlatformDown, Watches: s.IsWatcher,
		Members: []MemberStatus{},
	}
	if s.AgeKnown {
		answer.AgeMS = s.Age.Milliseconds()
	}
	for _, m := range s.Members {
		answer.Members = append(answer.Members, newMemberStatus(m))
	}
	return answer
}

func newMemberStatus(m fleet.MemberStatus) MemberStatus {
	status := MemberStatus{
		ID: m.Member.ID, DataCentre: m.Member.DataCentre, Address: m.Member.Address, Incarnation: m.Member.Incarnation,
		Revision: m.Revision, RoundTripUS: m.RoundTrip.Microseconds(), HeardAgoMS: -1, Silent: m.Silent,
	}
	if m.Heard {
		status.HeardAgoMS = m.HeardAgo.Milliseconds()
	}
	return status
}
