package front

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// statusTimeout bounds a status query.
const statusTimeout = 5 * time.Second

// ConfigStatus is the JSON answer to GET /v1/config/status. It is what one
// entry instance knows; the data centres are asked when the query arrives.
type ConfigStatus struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"datacentre"`
	Revision   uint64 `json:"revision"`
	Loaded     bool   `json:"loaded"`
	// Fresh is false while no work starts because the configuration is too old.
	Fresh bool `json:"fresh"`
	// AgeMS is the age of the newest evidence that the configuration is the
	// newest one, in milliseconds, -1 when there never was any.
	AgeMS     int64 `json:"age_ms"`
	HorizonMS int64 `json:"horizon_ms"`
	// Behind is true while a newer revision is known to exist.
	Behind       bool `json:"behind"`
	PlatformDown bool `json:"platform_down"`
	// Watches is true when this instance watches the platform for its data
	// centre.
	Watches bool `json:"watches"`
	Spread
	Members []MemberStatus `json:"members"`
}

// MemberStatus is what the answering instance knows of another one.
type MemberStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"datacentre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	RoundTripUS int64  `json:"round_trip_us"`
	// HeardAgoMS is the time since the last message, -1 when there was none.
	HeardAgoMS int64 `json:"heard_ago_ms"`
	Silent     bool  `json:"silent"`
}

func (s *Server) configStatus(ctx *fasthttp.RequestCtx, _ string) {
	limited, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := control.Ask(limited, s.parts.Loop, func(reply chan<- fleet.ConfigStatus) fleet.Event {
		return fleet.SpreadQuery{Reply: reply}
	})
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return
	}
	answer := statusOfConfig(status)
	answer.Spread = s.confirmations(limited, status.Plan)
	writeJSON(ctx, fasthttp.StatusOK, answer)
}

func statusOfConfig(s fleet.ConfigStatus) ConfigStatus {
	answer := ConfigStatus{
		Instance: s.Self.ID, DataCentre: s.Self.DataCentre, Revision: s.Revision, Loaded: s.Loaded, Fresh: s.Fresh,
		AgeMS: -1, HorizonMS: s.Horizon.Milliseconds(), Behind: s.Behind, PlatformDown: s.PlatformDown, Watches: s.Watches,
		Members: []MemberStatus{},
	}
	if s.Known {
		answer.AgeMS = s.Age.Milliseconds()
	}
	for _, m := range s.Members {
		answer.Members = append(answer.Members, memberStatus(m))
	}
	return answer
}

func memberStatus(m fleet.MemberStatus) MemberStatus {
	status := MemberStatus{
		ID: m.Member.ID, DataCentre: m.Member.DataCentre, Address: m.Member.Address, Incarnation: m.Member.Incarnation,
		Revision: m.Revision, RoundTripUS: m.RoundTrip.Microseconds(), HeardAgoMS: -1, Silent: m.Silent,
	}
	if m.Heard {
		status.HeardAgoMS = m.HeardAgo.Milliseconds()
	}
	return status
}
