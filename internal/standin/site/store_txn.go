package site

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
)

const txnPath = "/kv-txn"

// txn is the body of a transaction: its puts and deletes take effect only if
// each key in Conditions has the given revision, 0 for a missing key.
type txn struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// putKeys returns the keys that the transaction puts.
func (t txn) putKeys() []string {
	keys := make([]string, 0, len(t.Puts))
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// maxTxnEntries is the maximum number of conditions, puts and deletes in a
// transaction.
const maxTxnEntries = 32

func (s *Store) serveTxn(c *fasthttp.RequestCtx) {
	var t txn
	if json.Unmarshal(c.PostBody(), &t) != nil || len(t.Conditions)+len(t.Puts)+len(t.Deletes) > maxTxnEntries {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if conflict := s.conflictItems(t); conflict != nil {
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		replyJSON(c, struct {
			Items []Item `json:"items"`
		}{conflict})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			c.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	}
	s.revision++
	s.writes++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.wakeWatches()
	replyJSON(c, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// conflictItems returns the current items of all conditions if one of them
// fails, and nil otherwise. Like the users' store, it leaves out the keys that do not
// exist. The caller holds s.mu.
func (s *Store) conflictItems(t txn) []Item {
	items := []Item{}
	failed := false
	for _, condition := range t.Conditions {
		item, ok := s.items[condition.Key]
		failed = failed || item.Revision != condition.Revision
		if ok {
			items = append(items, item)
		}
	}
	if !failed {
		return nil
	}
	return items
}
