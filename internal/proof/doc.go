// Package proof holds the checkers of the invariants. Each one reads a trace of
// events, from a property test or from separate processes, and reports the
// first event that breaks its invariant.
package proof
