package control

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// LimitRecord is the allotment record of one limit.
type LimitRecord struct {
	Limit  contract.Ref
	Record contract.AllotmentRecord
}

// ReadLimits reads the allotment records of all limits, ordered by platform
// key.
func ReadLimits(ctx context.Context, s platform.Store) ([]LimitRecord, error) {
	items, err := s.List(ctx, AllotmentPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list allotments")
	}
	list := make([]LimitRecord, 0, len(items))
	for _, item := range items {
		record, err := DecodeAllotment(item.Value)
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		list = append(list, LimitRecord{Limit: parseAllotmentKey(item.Key), Record: record})
	}
	return list, nil
}

// parseAllotmentKey is the inverse of AllotmentKey.
func parseAllotmentKey(key string) contract.Ref {
	if service, ok := strings.CutPrefix(key, ServiceAllotmentPrefix); ok {
		return contract.Ref{Kind: contract.KindDocument, Name: service}
	}
	return contract.Ref{Kind: contract.KindTeam, Name: strings.TrimPrefix(key, AllotmentPrefix)}
}
