// Package proof holds checkers that watch a trace of events and report every
// moment at which an invariant of the design page does not hold.
package proof
