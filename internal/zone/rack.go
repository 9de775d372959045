package zone

import (
	"cmp"
	"slices"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Rack is a failure domain of a data centre: its workers share a switch and a
// power feed.
type Rack struct {
	Name    string
	workers []*machine.Worker
	// teams counts the running tasks of each team in the rack.
	teams map[string]int
}

func newRack(name string) *Rack { return &Rack{Name: name, teams: make(map[string]int)} }

// Workers returns the workers ordered by id. The caller must not modify the
// slice.
func (r *Rack) Workers() []*machine.Worker { return r.workers }

func (r *Rack) add(w *machine.Worker) {
	at, _ := slices.BinarySearchFunc(r.workers, w.ID, func(w *machine.Worker, id string) int { return cmp.Compare(w.ID, id) })
	r.workers = slices.Insert(r.workers, at, w)
}

func (r *Rack) remove(id string) {
	r.workers = slices.DeleteFunc(r.workers, func(w *machine.Worker) bool { return w.ID == id })
}

// adjustTeamCount adds change to the number of running tasks of the team.
func (r *Rack) adjustTeamCount(team string, change int) {
	r.teams[team] += change
	if r.teams[team] <= 0 {
		delete(r.teams, team)
	}
}
