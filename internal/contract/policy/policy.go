// Package policy holds the operators' configuration of the scheduler: queues,
// teams with their keys and upper limits, and services. A Configuration is
// immutable, so that traffic goroutines may read it without a lock.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Configuration is one accepted version of the operators' configuration.
type Configuration struct {
	// Version grows with each change. Versions need not be consecutive.
	Version     int64
	queues      []Queue
	queueByName map[string]*Queue
	// queueByAddress is by host and prefix.
	queueByAddress map[[2]string]*Queue
	teams          map[string]*Team
	teamByKey      map[string]string
	services       map[string]Service
	limits         RequestLimits
}

// Queue accepts jobs for the workers of one service.
type Queue struct {
	Name string
	// Host and Prefix are the host and the path prefix of requests for the queue.
	// The longest matching prefix of a host wins.
	Host, Prefix string
	Service      string
	// Public means that the queue accepts jobs without a key.
	Public bool
	// Priority orders the queues, from 0. Queues with a lower number are served
	// first.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails.
	Attempts int
	// Stretch and Objective set the time within which a job should complete: its
	// critical path times Stretch, plus Objective.
	Stretch   float64
	Objective time.Duration
	// RequiresAdvice means that tasks start only on workers that the advice
	// service names. Advice is how it answers.
	RequiresAdvice bool
	Advice         Advice
}

// Advice describes the answers of the advice service for a queue.
type Advice struct {
	// A call takes Decision, and PerWorker for each worker that it names.
	Decision, PerWorker time.Duration
	// Validity is how long the tickets of an answer are valid.
	Validity time.Duration
}

// ServiceTime returns how long the service takes for a call that names a number of workers.
func (a Advice) ServiceTime(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// QueueRef identifies a queue across versions of the configuration. Operators may give a
// queue another name or another address. Callers know its address only.
type QueueRef struct {
	Name string
	// Host and Prefix are empty if only the name is known.
	Host, Prefix string
}

// Ref returns the reference to the queue.
func (q *Queue) Ref() QueueRef { return QueueRef{q.Name, q.Host, q.Prefix} }

// Team is a customer of the fleet.
type Team struct {
	Name string
	Keys []string
	// Weight is the team's weight in the division of a full fleet.
	Weight float64
	// UpperLimit bounds the resources of the team's running tasks. A resource
	// of 0 has no bound.
	UpperLimit machine.Resources
}

// Service is a pool of workers.
type Service struct {
	Name string
	// ChecksAdmission means that the workers refuse a task that does not fit.
	// Others accept it, so the scheduler must not overload them.
	ChecksAdmission bool
	// Spare means that the pool holds machines that are switched off and cost
	// nothing.
	Spare bool
}

// RequestLimits bound the size and the duration of a caller's request.
type RequestLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// New returns a configuration of the given parts. It takes ownership of the
// slices; the caller must not use them afterwards.
func New(version int64, queues []Queue, teams []Team, services []Service, limits RequestLimits) *Configuration {
	c := &Configuration{
		Version:        version,
		queues:         queues,
		queueByName:    make(map[string]*Queue, len(queues)),
		queueByAddress: make(map[[2]string]*Queue, len(queues)),
		teams:          make(map[string]*Team, len(teams)),
		teamByKey:      make(map[string]string),
		services:       make(map[string]Service, len(services)),
		limits:         limits,
	}
	slices.SortStableFunc(c.queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
	})
	for i := range c.queues {
		q := &c.queues[i]
		c.queueByName[q.Name], c.queueByAddress[[2]string{q.Host, q.Prefix}] = q, q
	}
	for i := range teams {
		c.teams[teams[i].Name] = &teams[i]
		for _, key := range teams[i].Keys {
			c.teamByKey[key] = teams[i].Name
		}
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Route returns the queue that serves path on host and the part of the path
// after the queue's prefix, and false when no queue matches.
func (c *Configuration) Route(host, path string) (*Queue, string, bool) {
	first, _ := slices.BinarySearchFunc(c.queues, host, func(q Queue, h string) int { return cmp.Compare(q.Host, h) })
	for i := first; i < len(c.queues) && c.queues[i].Host == host; i++ {
		if rest, ok := strings.CutPrefix(path, c.queues[i].Prefix); ok {
			return &c.queues[i], rest, true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name.
func (c *Configuration) Queue(name string) (*Queue, bool) {
	q, ok := c.queueByName[name]
	return q, ok
}

// Resolve returns the queue that a reference to a queue of any version means in this one:
// the queue at the same address, or else the one with the same name. It returns false if
// there is neither.
func (c *Configuration) Resolve(ref QueueRef) (*Queue, bool) {
	named := c.queueByName[ref.Name]
	if named != nil && named.Host == ref.Host && named.Prefix == ref.Prefix {
		return named, true
	}
	if ref.Host != "" || ref.Prefix != "" {
		if q := c.queueByAddress[[2]string{ref.Host, ref.Prefix}]; q != nil {
			return q, true
		}
	}
	return named, named != nil
}

// Queues returns all queues; the caller must not change them.
func (c *Configuration) Queues() []Queue { return c.queues }

// TeamOf returns the name of the team that a key belongs to.
func (c *Configuration) TeamOf(key string) (string, bool) {
	team, ok := c.teamByKey[key]
	return team, ok
}

// Team returns the team with the given name.
func (c *Configuration) Team(name string) (*Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services by name; the caller must not change them.
func (c *Configuration) Services() map[string]Service { return c.services }

// Limits returns the bounds of a caller's request.
func (c *Configuration) Limits() RequestLimits { return c.limits }
