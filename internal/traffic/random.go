package traffic

import "math/rand/v2"

// ProcessRandom implements Random with the process-wide source of math/rand/v2,
// which the runtime seeds. Tests use a source with a fixed seed instead.
type ProcessRandom struct{}

// IntN implements Random.
func (ProcessRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 implements Random.
func (ProcessRandom) Float64() float64 { return rand.Float64() }
