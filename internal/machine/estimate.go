package machine

import "math"

// Parameters of the size estimates.
const (
	// learningGain is the weight of a new sample in the moving averages.
	learningGain = 0.125
	// minSamples is the number of samples after which an estimate replaces the
	// declared size.
	minSamples = 3
)

// predictor is a moving average with its mean absolute error.
type predictor struct {
	value     float64
	meanError float64
}

func (p *predictor) observe(sample, predictionError float64, first bool) {
	if first {
		p.value, p.meanError = sample, predictionError
		return
	}
	p.value += learningGain * (sample - p.value)
	p.meanError += learningGain * (predictionError - p.meanError)
}

// resourceEstimate predicts one resource in three ways. Some teams declare
// sizes that are wrong by a constant factor, which the ratio corrects; others
// declare sizes that are unrelated to the task, for which the mean use is
// better. The prediction with the smallest mean error so far is used.
type resourceEstimate struct {
	byDeclared, byRatio, byMean predictor
}

func (e *resourceEstimate) observe(declared, used int64, first bool) {
	d, u := float64(max(declared, 1)), float64(used)
	ratioError, meanError := math.Abs(e.byRatio.value*d-u), math.Abs(e.byMean.value-u)
	if first {
		ratioError, meanError = u/4, u/4
	}
	e.byDeclared.observe(0, math.Abs(d-u), first)
	e.byRatio.observe(u/d, ratioError, first)
	e.byMean.observe(u, meanError, first)
}

// predict returns the best prediction plus its mean error as headroom.
func (e *resourceEstimate) predict(declared int64) int64 {
	best, err := float64(declared), e.byDeclared.meanError
	if e.byRatio.meanError < err {
		best, err = e.byRatio.value*float64(declared), e.byRatio.meanError
	}
	if e.byMean.meanError < err {
		best, err = e.byMean.value, e.byMean.meanError
	}
	return max(int64(math.Ceil(best+err)), 1)
}

// Estimate predicts the sizes of the tasks that one team submits for one
// service. The zero value returns the declared size.
type Estimate struct {
	cores, memory resourceEstimate
	samples       int
}

// Observe adds the peak use of one task as a sample.
func (e *Estimate) Observe(declared, used Resources) {
	first := e.samples == 0
	e.cores.observe(declared.MilliCores, used.MilliCores, first)
	e.memory.observe(declared.MemoryMB, used.MemoryMB, first)
	e.samples++
}

// Size returns the expected use of a task with the declared size. Accelerators
// are not estimated, since a task reserves them whole. A nil Estimate returns
// the declared size.
func (e *Estimate) Size(declared Resources) Resources {
	if e == nil || e.samples < minSamples {
		return declared
	}
	return Resources{
		MilliCores:   e.cores.predict(declared.MilliCores),
		MemoryMB:     e.memory.predict(declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}
