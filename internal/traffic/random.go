package traffic

import "math/rand/v2"

// ProcessRandom is the random source of a running process. It is seeded by the
// runtime; tests pass a seeded source instead.
type ProcessRandom struct{}

// IntN implements Random.
func (ProcessRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 implements Random.
func (ProcessRandom) Float64() float64 { return rand.Float64() }
