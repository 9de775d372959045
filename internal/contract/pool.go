package contract

// MaxPoolSize is the largest target size of a pool, in instances.
const MaxPoolSize = 100_000

// PoolOrder is the operators' configuration of one pool.
type PoolOrder struct {
	Name string `json:"name" cbor:"name"`
	// Spare is the pool from which unavailable instances are replaced, empty for
	// none.
	Spare string `json:"spare,omitempty" cbor:"spare,omitempty"`
	// Target is the number of instances that the pool should have. Zero disables
	// replacement.
	Target int `json:"target" cbor:"target"`
}

func (c *checker) pool(o *Object) {
	p := o.Pool
	if p == nil || p.Name != o.Ref.Name {
		c.nameMismatch("pool.name", o.Ref.Name)
		return
	}
	if p.Spare != "" {
		c.name("pool.spare", p.Spare)
	}
	c.number("pool.target", int64(p.Target), 0, MaxPoolSize, "instances")
}
