package machine

import "math"

// Parameters of learning.
const (
	// learningGain is the weight of a new sample.
	learningGain = 0.125
	// samplesTrusted is the number of samples from which an estimate replaces
	// the declared size.
	samplesTrusted = 3
)

// predictor is one way to predict the use of a task, with its mean error.
type predictor struct {
	value float64
	err   float64
}

func (p *predictor) observe(sample, missed float64, first bool) {
	if first {
		p.value, p.err = sample, missed
		return
	}
	p.value += learningGain * (sample - p.value)
	p.err += learningGain * (missed - p.err)
}

// learned predicts one resource in three ways. Some teams declare sizes that
// are wrong by a constant factor, which a ratio corrects; others declare
// figures that say nothing about the task, where the mean use is better. The
// way with the smallest error so far is used.
type learned struct {
	declared, ratio, mean predictor
}

func (l *learned) observe(declared, used int64, first bool) {
	d, u := float64(max(declared, 1)), float64(used)
	ratioMiss, meanMiss := math.Abs(l.ratio.value*d-u), math.Abs(l.mean.value-u)
	if first {
		ratioMiss, meanMiss = u/4, u/4
	}
	l.declared.observe(0, math.Abs(d-u), first)
	l.ratio.observe(u/d, ratioMiss, first)
	l.mean.observe(u, meanMiss, first)
}

// predict returns the best prediction plus its mean error as headroom.
func (l *learned) predict(declared int64) int64 {
	best, err := float64(declared), l.declared.err
	if l.ratio.err < err {
		best, err = l.ratio.value*float64(declared), l.ratio.err
	}
	if l.mean.err < err {
		best, err = l.mean.value, l.mean.err
	}
	return max(int64(math.Ceil(best+err)), 1)
}

// Estimate is what is learned about the sizes that one team declares for one
// service. The zero value trusts the declared size.
type Estimate struct {
	cores, memory learned
	samples       int
}

// Observe takes the peak use of one task.
func (e *Estimate) Observe(declared, used Resources) {
	first := e.samples == 0
	e.cores.observe(declared.MilliCores, used.MilliCores, first)
	e.memory.observe(declared.MemoryMB, used.MemoryMB, first)
	e.samples++
}

// Size returns the expected use of a task with the declared size.
// Accelerators are reserved whole, so that they are never estimated.
func (e *Estimate) Size(declared Resources) Resources {
	if e == nil || e.samples < samplesTrusted {
		return declared
	}
	return Resources{
		MilliCores:   e.cores.predict(declared.MilliCores),
		MemoryMB:     e.memory.predict(declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}
