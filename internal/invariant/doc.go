// Package invariant implements the checkers of the system's invariants, for
// tests. A checker reads a trace of events in time order, recorded by a property
// test or by separate processes, and reports the events that violate its
// invariant. Checkers are not safe for concurrent use.
package invariant
