package machine

// Resources is an amount of the resources of a worker or a task.
type Resources struct {
	// MilliCores are thousandths of a processor core.
	MilliCores int64 `json:"millicores" cbor:"1,keyasint,omitempty"`
	// MemoryMB is in units of 2^20 bytes.
	MemoryMB     int64 `json:"memory_mb" cbor:"2,keyasint,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o. Fields may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the maximum of each field.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Times returns r multiplied by a factor, rounded towards zero.
func (r Resources) Times(factor float64) Resources {
	return Resources{int64(float64(r.MilliCores) * factor), int64(float64(r.MemoryMB) * factor), int64(float64(r.Accelerators) * factor)}
}

// FitsIn reports whether no field of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}
