package site

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// StoreFault selects how a Store mishandles calls.
type StoreFault int

// Faults of a Store.
const (
	// StoreNoFault injects no fault.
	StoreNoFault StoreFault = iota
	// StoreUnavailable rejects every call with 503.
	StoreUnavailable
	// StoreTooManyRequests rejects every call with 429.
	StoreTooManyRequests
	// StoreSilent blocks every call until the fault changes, for maxSilence at
	// most, and then closes the connection without an answer.
	StoreSilent
	// StoreLosesAnswers executes every call and closes the connection without an
	// answer.
	StoreLosesAnswers
	// StoreDoneSilently executes every call and leaves the connection open without an
	// answer for maxSilence.
	StoreDoneSilently
	// StoreLate closes the connection without an answer and executes the call
	// after lateDelay.
	StoreLate
	// StoreHeld closes the connection without an answer and keeps the call until
	// CarryOutHeld.
	StoreHeld
)

// lateDelay is how long StoreLate and WorkerLate delay a call.
const lateDelay = 300 * time.Millisecond

// SetFault replaces the injected fault. Every call is delayed by delay.
func (s *Store) SetFault(f StoreFault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = f, delay
	s.wakeWatches()
}

// SetWriteFault makes choose select the fault of each transaction by the keys that
// it puts. StoreNoFault leaves a transaction to the fault of SetFault. Choose is
// called for one transaction at a time.
func (s *Store) SetWriteFault(choose func(keys []string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeFault = choose
}

// CarryOutHeld executes the calls that StoreHeld keeps, in the order of their arrival,
// and returns their status codes.
func (s *Store) CarryOutHeld() []int {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	var statuses []int
	for _, c := range held {
		s.dispatch(c)
		statuses = append(statuses, c.Response.StatusCode())
	}
	return statuses
}

// faultOf returns the fault of a call.
func (s *Store) faultOf(c *fasthttp.RequestCtx) StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t txn
	if s.writeFault == nil || string(c.Path()) != txnPath || json.Unmarshal(c.PostBody(), &t) != nil {
		return s.fault
	}
	if fault := s.writeFault(t.putKeys()); fault != StoreNoFault {
		return fault
	}
	return s.fault
}

// Serve handles one HTTP call to the store, with the injected fault and delay.
func (s *Store) Serve(c *fasthttp.RequestCtx) {
	fault := s.faultOf(c)
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case StoreUnavailable:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case StoreTooManyRequests:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case StoreSilent:
		s.awaitFaultChange(StoreSilent)
		abort(c)
		return
	case StoreLosesAnswers:
		s.dispatch(c)
		abort(c)
		return
	case StoreDoneSilently:
		s.dispatch(c)
		time.Sleep(maxSilence)
		abort(c)
		return
	case StoreLate:
		late := &fasthttp.RequestCtx{}
		c.Request.CopyTo(&late.Request)
		time.AfterFunc(lateDelay, func() { s.dispatch(late) })
		abort(c)
		return
	case StoreHeld:
		held := &fasthttp.RequestCtx{}
		c.Request.CopyTo(&held.Request)
		s.mu.Lock()
		s.held = append(s.held, held)
		s.mu.Unlock()
		abort(c)
		return
	}
	s.dispatch(c)
}

// abort closes the connection without an answer.
func abort(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// maxSilence bounds how long a call stays without an answer, so that tests end.
const maxSilence = 5 * time.Second

// awaitFaultChange blocks while f is the injected fault, for maxSilence at most.
func (s *Store) awaitFaultChange(f StoreFault) {
	deadline := time.After(maxSilence)
	for {
		s.mu.Lock()
		same, changed := s.fault == f, s.changed
		s.mu.Unlock()
		if !same {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}
