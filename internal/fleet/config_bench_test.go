package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// benchSize is one size of the fleet and its configuration. The largest one is
// the target size.
type benchSize struct {
	teams, documents, keys, endpoints, members, dataCentres int
}

var benchSizes = []benchSize{
	{teams: 14, documents: 70, keys: 200, endpoints: 120, members: 8, dataCentres: 2},
	{teams: 70, documents: 350, keys: 1000, endpoints: 600, members: 20, dataCentres: 5},
	{teams: 140, documents: 700, keys: 2000, endpoints: 1200, members: 40, dataCentres: 5},
}

func (s benchSize) String() string {
	return fmt.Sprintf("teams=%d/documents=%d/keys=%d/members=%d", s.teams, s.documents, s.keys, s.members)
}

func (s benchSize) run(b *testing.B, f func(b *testing.B)) { b.Run(s.String(), f) }

// objects returns all configuration objects. Their revisions start at 1.
func (s benchSize) objects() []contract.Object {
	var list []contract.Object
	add := func(o contract.Object) {
		o.Revision = uint64(len(list) + 1)
		list = append(list, o)
	}
	for i := range s.teams {
		name := fmt.Sprintf("team-%d", i)
		add(contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: name}, Team: &contract.Team{Name: name, UpperLimit: 100, Share: 1}})
	}
	for i := range s.documents {
		name, team := fmt.Sprintf("service-%d", i), fmt.Sprintf("team-%d", i%s.teams)
		add(contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: name}, Document: &contract.Document{
			Service: name, Team: team, Pool: "main", MinAvailable: 1, AcceptsFrom: []string{"team-0"},
		}})
	}
	for i := range s.keys {
		add(benchKey(i, s.teams))
	}
	return list
}

// benchKey returns key i. The first withdrawnKeys keys belong to the first team,
// the others to all teams in turn.
func benchKey(i, teams int) contract.Object {
	name, team := fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i%teams)
	if i < withdrawnKeys {
		team = "team-0"
	}
	return contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: name}, Key: &contract.Key{
		ID: name, Team: team, Hash: contract.KeyHash(fmt.Sprintf("%064x", i)),
	}}
}

// withdrawnKeys is the number of keys of one team that BenchmarkWithdrawTeamKeys
// withdraws.
const withdrawnKeys = 100

func (s benchSize) memberList() []link.Member {
	list := make([]link.Member, s.members)
	for i := range list {
		list[i] = link.Member{ID: fmt.Sprintf("entry-%02d", i), Incarnation: 1, DataCentre: dataCentreName(i % s.dataCentres), Address: "127.0.0.1:7000"}
	}
	return list
}

// fleet returns a fleet with the whole configuration, all members and all
// endpoints.
func (s benchSize) fleet() *fleet.Fleet {
	dataCentres := make(map[string]string)
	for i := range s.dataCentres {
		dataCentres[dataCentreName(i)] = "west"
	}
	members := s.memberList()
	f := fleet.New(fleet.Options{Self: members[0], DataCentres: dataCentres})
	f.Start(simulationStart)
	fleet.MembersListed{Members: members}.Apply(f, simulationStart)
	s.configLoaded().Apply(f, simulationStart)
	fleet.EndpointsSeen{Endpoints: s.endpointList(), Version: 1}.Apply(f, simulationStart)
	f.TakeSnapshot()
	return f
}

func (s benchSize) configLoaded() fleet.ConfigLoaded {
	objects := s.objects()
	head := contract.Head{Revision: uint64(len(objects)), Flushed: uint64(len(objects))}
	return fleet.ConfigLoaded{Before: head, After: head, Objects: objects, Version: 1, SentAt: simulationStart}
}

func (s benchSize) endpointList() []machine.Endpoint {
	list := make([]machine.Endpoint, s.endpoints)
	for i := range list {
		list[i] = machine.Endpoint{
			ID: fmt.Sprintf("endpoint-%d", i), Service: fmt.Sprintf("service-%d", i%s.documents),
			DataCentre: dataCentreName(i % s.dataCentres), Address: "127.0.0.1:1", Phase: machine.EndpointLive,
		}
	}
	return list
}

// BenchmarkApplyRevision measures one revision from the end of the watch to the
// snapshot that traffic reads.
func BenchmarkApplyRevision(b *testing.B) {
	for _, size := range benchSizes {
		size.run(b, func(b *testing.B) {
			f := size.fleet()
			revision := uint64(len(size.objects()))
			b.ReportAllocs()
			for b.Loop() {
				revision++
				key := benchKey(int(revision)%size.keys, size.teams)
				key.Revision = revision
				head := contract.Head{Revision: revision, Flushed: revision - 1, Changes: []contract.Change{{ID: "c", Object: key}}}
				fleet.HeadSeen{Changed: true, Head: head, Version: revision, SentAt: simulationStart}.Apply(f, simulationStart)
				if f.TakeSnapshot().Revision != revision {
					b.Fatal("the revision is not in force")
				}
			}
		})
	}
}

// BenchmarkSnapshotOfFreshness measures the snapshot after new evidence of
// freshness, which arrives about once a second.
func BenchmarkSnapshotOfFreshness(b *testing.B) {
	for _, size := range benchSizes {
		size.run(b, func(b *testing.B) {
			f := size.fleet()
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				fleet.HeadSeen{Version: 1, SentAt: simulationStart.Add(time.Duration(i))}.Apply(f, simulationStart)
				f.TakeSnapshot()
			}
		})
	}
}

// BenchmarkLoadWhole measures the first load of a new process, from the decoded
// objects to the first snapshot.
func BenchmarkLoadWhole(b *testing.B) {
	for _, size := range benchSizes {
		size.run(b, func(b *testing.B) {
			loaded := size.configLoaded()
			b.ReportAllocs()
			for b.Loop() {
				f := fleet.New(fleet.Options{DataCentres: map[string]string{"dc-0": "west"}})
				f.Start(simulationStart)
				loaded.Apply(f, simulationStart)
				f.TakeSnapshot()
			}
		})
	}
}

// BenchmarkHeapOfConfiguration measures the heap that a fleet and its snapshot
// use, in bytes.
func BenchmarkHeapOfConfiguration(b *testing.B) {
	for _, size := range benchSizes {
		size.run(b, func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				f := size.fleet()
				b.ReportMetric(float64(heapInUse()-before), "heap-B")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkWithdrawTeamKeys measures the withdrawal of all 100 keys of one team.
// Each arrives in a head of its own and is followed by a snapshot.
func BenchmarkWithdrawTeamKeys(b *testing.B) {
	size := benchSizes[len(benchSizes)-1]
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		f := size.fleet()
		revision := uint64(len(size.objects()))
		b.StartTimer()
		for i := range withdrawnKeys {
			revision++
			key := contract.Object{Ref: benchKey(i, size.teams).Ref, Revision: revision, Deleted: true}
			head := contract.Head{Revision: revision, Flushed: revision - 1, Changes: []contract.Change{{ID: "c", Object: key}}}
			fleet.HeadSeen{Changed: true, Head: head, Version: revision, SentAt: simulationStart}.Apply(f, simulationStart)
			f.TakeSnapshot()
		}
	}
}

// BenchmarkDigestExchange measures the control thread's part of one probe from
// a peer with the same configuration and members.
func BenchmarkDigestExchange(b *testing.B) {
	for _, size := range benchSizes {
		size.run(b, func(b *testing.B) {
			f := size.fleet()
			reply := make(chan fleet.ProbeReply, 1)
			from := size.memberList()[1]
			fleet.ProbeReceived{From: from, Reply: reply}.Apply(f, simulationStart)
			known := <-reply
			probe := fleet.Probe{Revision: known.Revision, Digest: known.Digest, MemberDigest: known.MemberDigest}
			b.ReportAllocs()
			for b.Loop() {
				fleet.ProbeReceived{From: from, Probe: probe, Reply: reply}.Apply(f, simulationStart)
				if answer := <-reply; answer.Digest != probe.Digest {
					b.Fatal("digests differ")
				}
			}
		})
	}
}
