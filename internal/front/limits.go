package front

import (
	"context"
	"net/http"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// limitsTimeout bounds the time to read the records of all limits from the
// platform.
const limitsTimeout = 3 * time.Second

// LimitsAnswer is the JSON answer to GET /v1/limits.
type LimitsAnswer struct {
	// Here holds the slots of the answering entry instance.
	Here fleet.LimitsReport `json:"here"`
	// Fleet holds the platform's records with the slots of all holders.
	Fleet []RecordedLimit `json:"fleet"`
	// PlatformError is the reason why Fleet could not be read, empty on success.
	PlatformError string `json:"platform_error,omitempty"`
}

// RecordedLimit is the platform's record of the slots of one limit.
type RecordedLimit struct {
	Limit contract.Ref `json:"limit"`
	// Held is the sum of the slots of all holders.
	Held    int                       `json:"held"`
	Holders []contract.AllotmentEntry `json:"holders"`
	// Recorded is the limit that was in force at the last swap of the record.
	Recorded contract.Limit `json:"recorded"`
}

// LimitsReader reads the records of all limits from the platform.
type LimitsReader func(ctx context.Context) ([]control.LimitRecord, error)

func (s *Server) limitsRoutes() []route {
	return []route{{method: http.MethodGet, prefix: "/v1/limits", handle: s.showLimits}}
}

// showLimits serves GET /v1/limits. The report of this instance is returned even
// when the platform's records cannot be read.
func (s *Server) showLimits(x *exchange, _ string) {
	report, ok := queryControl(s, x, func(reply chan<- fleet.LimitsReport) fleet.Event { return fleet.LimitsQuery{Reply: reply} })
	if !ok {
		return
	}
	answer := LimitsAnswer{Here: report, Fleet: []RecordedLimit{}}
	readCtx, cancel := context.WithTimeout(context.Background(), limitsTimeout)
	defer cancel()
	records, err := s.deps.Limits(readCtx)
	if err != nil {
		answer.PlatformError = err.Error()
	}
	for _, r := range records {
		answer.Fleet = append(answer.Fleet, RecordedLimit{
			Limit: r.Limit, Held: r.Record.Sum(), Holders: r.Record.Entries, Recorded: r.Record.Limit,
		})
	}
	writeJSON(x, http.StatusOK, answer)
}
