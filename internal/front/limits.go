package front

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// limitsTimeout bounds the read of the platform's records.
const limitsTimeout = 3 * time.Second

// LimitsAnswer is the JSON answer to /v1/limits.
type LimitsAnswer struct {
	// Here is what the answering entry instance holds.
	Here fleet.LimitsReport `json:"here"`
	// Fleet is what the platform records for all holders.
	Fleet []RecordedLimit `json:"fleet"`
	// PlatformError says why Fleet could not be read.
	PlatformError string `json:"platform_error,omitempty"`
}

// RecordedLimit is the platform's record of one limit.
type RecordedLimit struct {
	Limit contract.Ref `json:"limit"`
	// Held is the sum of the slots of all holders.
	Held    int                       `json:"held"`
	Holders []contract.AllotmentEntry `json:"holders"`
	// Recorded is the limit under which the last swap was made.
	Recorded contract.Limit `json:"recorded"`
}

// LimitsReader reads the platform's records of all limits.
type LimitsReader func(ctx context.Context) ([]control.LimitRecord, error)

func (s *Server) limitsRoutes() []route {
	return []route{{method: fasthttp.MethodGet, prefix: "/v1/limits", handle: s.limits}}
}

func (s *Server) limits(ctx *fasthttp.RequestCtx, _ string) {
	report, ok := query(s, ctx, func(reply chan<- fleet.LimitsReport) fleet.Event { return fleet.LimitsQuery{Reply: reply} })
	if !ok {
		return
	}
	answer := LimitsAnswer{Here: report, Fleet: []RecordedLimit{}}
	limited, cancel := context.WithTimeout(context.Background(), limitsTimeout)
	defer cancel()
	records, err := s.parts.Limits(limited)
	if err != nil {
		answer.PlatformError = err.Error()
	}
	for _, r := range records {
		answer.Fleet = append(answer.Fleet, RecordedLimit{
			Limit: r.Limit, Held: r.Record.Sum(), Holders: r.Record.Entries, Recorded: r.Record.Limit,
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, answer)
}
