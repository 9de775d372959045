package admission

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// TestFloodLeavesRoomToOtherTeams guards, under a load of teams that hand in jobs without
// end while few of them end, against exceeding the memory of the nodes and against refusing
// a team that has little.
func TestFloodLeavesRoomToOtherTeams(t *testing.T) {
	const limit, small = 1 << 20, 2 << 10
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		floods := 1 + random.IntN(4)
		type accepted struct {
			team  string
			bytes int64
		}
		var jobs []accepted
		m, none := NewJobMemory(limit), NewJobMemory(0)
		refused := 0
		for range 20_000 {
			// A job in 50 ends.
			if len(jobs) > 0 && random.IntN(50) == 0 {
				i := random.IntN(len(jobs))
				m.Add(jobs[i].team, -jobs[i].bytes)
				jobs = append(jobs[:i], jobs[i+1:]...)
			}
			next := accepted{"flood-" + strconv.Itoa(random.IntN(floods)), 1 + random.Int64N(8*small)}
			if random.IntN(50) == 0 {
				next = accepted{"ordinary", small}
			}
			if m.Admits(next.team, next.bytes, none) {
				jobs = append(jobs, next)
				m.Add(next.team, next.bytes)
			} else if next.team == "ordinary" && m.byTeam[next.team] < limit/16 {
				refused++
			}
			if m.Used() > limit {
				t.Fatalf("seed %d: %d bytes of %d", seed, m.Used(), limit)
			}
		}
		if refused > 0 {
			t.Errorf("seed %d, %d floods: %d jobs of a team with little are refused", seed, floods, refused)
		}
	}
}

// TestFootprintCoversJobs guards against jobs that take more memory than they count for.
func TestFootprintCoversJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		jobs, steps, tasks int
		ended              bool
	}{
		"small jobs":    {4000, 1, 1, false},
		"ordinary jobs": {1000, 2, 8, false},
		"many steps":    {200, 64, 1, false},
		"many tasks":    {10, 2, 4096, false},
		"ended jobs":    {4000, 2, 8, true},
	} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		list := make([]*job.Job, tc.jobs)
		counted := int64(0)
		for i := range list {
			spec := job.Spec{Payload: string(make([]byte, 100)), Steps: make([]job.Step, tc.steps)}
			for k := range spec.Steps {
				spec.Steps[k].Count = tc.tasks
			}
			list[i] = job.New(job.ID(strconv.Itoa(i)), job.Terms{}, spec, 0, 0)
			if tc.ended {
				list[i].Stored.State = job.Completed
			}
			list[i].StartLeading()
			if !tc.ended {
				list[i].OpenDue(1)
			}
			counted += Footprint(&list[i].Spec, tc.ended)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if used := int64(after.HeapAlloc - before.HeapAlloc); used > counted {
			t.Errorf("%s: %d jobs take %d bytes and count for %d", name, tc.jobs, used, counted)
		}
		runtime.KeepAlive(list)
	}
}
