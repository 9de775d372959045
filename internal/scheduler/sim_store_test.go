package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// simStore is the simulated store. The revision of the key leader is the fencing
// token of the scheduler.
type simStore struct {
	w        *simulation
	revision int64
	items    map[string]simItem
	leases   map[int64]time.Time
	nextID   int64
	down     bool
}

type simItem struct {
	value    any
	revision int64
	lease    int64
	removed  bool
}

func newSimStore(w *simulation) *simStore {
	return &simStore{w: w, revision: 1, items: make(map[string]simItem), leases: make(map[int64]time.Time)}
}

func (s *simStore) put(key string, value any, lease int64) int64 {
	s.revision++
	s.items[key] = simItem{value: value, revision: s.revision, lease: lease}
	return s.revision
}

func (s *simStore) remove(key string) {
	s.revision++
	s.items[key] = simItem{revision: s.revision, removed: true}
}

func (s *simStore) get(key string) (simItem, bool) {
	s.expire()
	item, ok := s.items[key]
	return item, ok && !item.removed
}

func (s *simStore) expire() {
	for id, until := range s.leases {
		if s.w.now.After(until) {
			s.endLease(id)
		}
	}
}

func (s *simStore) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if item := s.items[key]; item.lease == id && !item.removed {
			s.remove(key)
		}
	}
}

func (s *simStore) claimLease(n *simNode, a AcquireLease, sentAt time.Time) Event {
	leader, taken := s.get("leader")
	if taken && leader.revision != a.Replaces || !taken && a.Replaces != 0 {
		return LeaseRefused{"taken"}
	}
	if epoch, ok := s.get("epoch"); ok && epoch.revision != a.EpochRevision {
		return LeaseRefused{"epoch"}
	}
	s.nextID++
	ttl := lease.TTL
	s.leases[s.nextID] = s.w.now.Add(ttl)
	s.put("epoch", EpochRead{Epoch: a.Epoch + 1}, 0)
	if taken {
		s.put("left", LeaseReleaseRead{a.Epoch - 1}, 0)
	}
	fence := s.put("leader", HolderRead{Holder: n.name, Address: n.name, Process: n.process(), Lease: s.nextID, CPUShare: n.cpuShare}, s.nextID)
	if taken {
		s.endLease(a.ReplacedLease)
	}
	return LeaseGranted{Fence: fence, Lease: s.nextID, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
}

func (s *simStore) renewLease(id int64) RenewOutcome {
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return RenewEnded
	}
	s.leases[id] = s.w.now.Add(lease.TTL)
	return Renewed
}

// write applies puts if fence is the token of the current lease holder and the keys
// of expected have the given revisions, and reports whether it did.
func (s *simStore) write(fence int64, puts map[string]any, expected map[string]int64) bool {
	if leader, ok := s.get("leader"); !ok || leader.revision != fence {
		return false
	}
	for key, revision := range expected {
		if item, ok := s.get(key); ok && item.revision != revision || !ok && revision != 0 {
			return false
		}
	}
	s.revision++
	for key, value := range puts {
		s.items[key] = simItem{value: value, revision: s.revision}
	}
	return true
}

// writeRecord is write for one record of the scheduler, which must have the revision
// expected, 0 for none.
func (s *simStore) writeRecord(fence int64, key string, value any, expected int64) RecordResult {
	if s.write(fence, map[string]any{key: value}, map[string]int64{key: expected}) {
		return RecordResult{Revision: s.revision}
	}
	if leader, ok := s.get("leader"); !ok || leader.revision != fence {
		return RecordResult{Outcome: StoreLeaseLost}
	}
	item, _ := s.get(key)
	return RecordResult{Outcome: StoreConflict, Revision: item.revision}
}

func (s *simStore) writeProgress(a StoreProgress, e *ProgressStored) {
	puts, expected := make(map[string]any), make(map[string]int64)
	for _, p := range a.Writes {
		puts["s/"+string(p.Job)], expected["s/"+string(p.Job)] = p.Progress, p.Expected
	}
	if s.write(a.Fence, puts, expected) {
		e.Outcome, e.Revision = StoreDone, s.revision
		for _, p := range a.Writes {
			s.w.checkFinalState(p)
		}
		return
	}
	if leader, ok := s.get("leader"); !ok || leader.revision != a.Fence {
		e.Outcome = StoreLeaseLost
		return
	}
	e.Outcome, e.Found = StoreConflict, make(map[job.ID]FoundProgress)
	for _, p := range a.Writes {
		if item, ok := s.get("s/" + string(p.Job)); ok {
			e.Found[p.Job] = FoundProgress{Revision: item.revision, Progress: item.value.(job.Progress), Readable: true}
		}
	}
}

// changes returns the changes of a part after a revision, in order of revision. Nodes
// do not watch the progress of jobs.
func (s *simStore) changes(part Part, after int64) []Change {
	s.expire()
	if s.revision == after {
		return nil
	}
	var changes []Change
	for _, key := range s.keysAfter(after) {
		if of, c := s.decode(key, s.items[key]); of == part && c != nil && !strings.HasPrefix(key, progressPrefix) {
			changes = append(changes, c)
		}
	}
	return changes
}

const progressPrefix = "s/"

// progress returns the stored progress of all jobs.
func (s *simStore) progress() []ProgressRead {
	s.expire()
	var list []ProgressRead
	for _, key := range s.keysAfter(0) {
		if _, c := s.decode(key, s.items[key]); strings.HasPrefix(key, progressPrefix) && !s.items[key].removed {
			list = append(list, c.(ProgressRead))
		}
	}
	return list
}

// keysAfter returns the keys that changed after a revision, in order of revision.
func (s *simStore) keysAfter(after int64) []string {
	keys := make([]string, 0, len(s.items))
	for key, item := range s.items {
		if item.revision > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := s.items[a].revision - s.items[b].revision; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	return keys
}

func (s *simStore) decode(key string, item simItem) (Part, Change) {
	switch value := item.value.(type) {
	case *policy.Configuration:
		return OperatorPart, ConfigChanged{value}
	case upkeep.Order:
		return OperatorPart, WaveOrdered{value}
	case DataCentreChanged:
		return OperatorPart, value
	case HolderRead:
		value.Fence = item.revision
		return JobsPart, value
	case LeaseReleaseRead:
		return JobsPart, value
	case EpochRead:
		value.Revision = item.revision
		return JobsPart, value
	case WaveProgressRead:
		value.Revision = item.revision
		return JobsPart, value
	case SilencesRead:
		value.Revision = item.revision
		return JobsPart, value
	case QuarantineRead, HandoverRead:
		return JobsPart, value.(Change)
	case PendingRead:
		value.Revision = item.revision
		return JobsPart, value
	case RoomsRead:
		value.Revision = item.revision
		return JobsPart, value
	case UseRead:
		value.Revision = item.revision
		return JobsPart, value
	case TurnsRead:
		value.Revision = item.revision
		return JobsPart, value
	case MachineOrdersRead:
		value.Revision = item.revision
		return JobsPart, value
	case []RosterMember:
		return JobsPart, RosterRead{value, item.revision}
	case jobValue:
		return JobsPart, JobAccepted{job.New(value.id, value.terms, value.spec, value.acceptedAt, item.revision)}
	case job.Progress:
		return JobsPart, ProgressRead{ID: job.ID(strings.TrimPrefix(key, progressPrefix)), Progress: value, Revision: item.revision}
	case cancelValue:
		return JobsPart, CancelRead{value.id, item.revision}
	case worker.Description:
		return WorkersPart, WorkerListed{value}
	}
	if name, ok := strings.CutPrefix(key, "q/"); ok {
		kind, name, _ := strings.Cut(name, "/")
		return JobsPart, QuarantineLifted{Record{RecordKind(kind), name}}
	}
	if key == "leader" {
		return JobsPart, HolderRead{}
	}
	if id, ok := strings.CutPrefix(key, "worker/"); ok {
		return WorkersPart, WorkerDelisted{id, true}
	}
	return JobsPart, nil
}

func quarantineKey(r Record) string { return "q/" + string(r.Kind) + "/" + r.Name }

type jobValue struct {
	id         job.ID
	terms      job.Terms
	spec       job.Spec
	acceptedAt int64
}

type cancelValue struct{ id job.ID }
