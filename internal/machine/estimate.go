package machine

import "math"

// Parameters of learning. Declared sizes are off by up to 4 times in either
// direction, so that a ratio outside 1/8 to 8 is a measuring error.
const (
	estimateGain   = 0.125
	deviationGain  = 0.25
	deviationsKept = 1.0
	ratioFloor     = 0.125
	ratioCeiling   = 8.0
	// samplesTrusted is the number of samples from which an estimate replaces
	// the declared size.
	samplesTrusted = 3
)

// ratio is a moving mean of used over declared with its mean deviation.
type ratio struct{ mean, deviation float64 }

func (r *ratio) observe(used, declared int64, first bool) {
	if declared <= 0 {
		return
	}
	sample := math.Min(math.Max(float64(used)/float64(declared), ratioFloor), ratioCeiling)
	if first || r.mean == 0 {
		r.mean, r.deviation = sample, sample/4
		return
	}
	r.deviation += deviationGain * (math.Abs(sample-r.mean) - r.deviation)
	r.mean += estimateGain * (sample - r.mean)
}

func (r *ratio) apply(declared int64) int64 {
	if r.mean == 0 {
		return declared
	}
	return max(int64(math.Ceil(float64(declared)*(r.mean+deviationsKept*r.deviation))), 1)
}

// Estimate is what is learned about the sizes that one team declares for one
// service. The zero value trusts the declared size.
type Estimate struct {
	cores, memory ratio
	samples       int
}

// Observe takes the peak use of one task.
func (e *Estimate) Observe(declared, used Resources) {
	e.cores.observe(used.MilliCores, declared.MilliCores, e.samples == 0)
	e.memory.observe(used.MemoryMB, declared.MemoryMB, e.samples == 0)
	e.samples++
}

// Size returns the expected use of a task with the declared size.
// Accelerators are reserved whole, so that they are never estimated.
func (e *Estimate) Size(declared Resources) Resources {
	if e == nil || e.samples < samplesTrusted {
		return declared
	}
	return Resources{
		MilliCores:   e.cores.apply(declared.MilliCores),
		MemoryMB:     e.memory.apply(declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}
