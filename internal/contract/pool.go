package contract

// MaxPoolSize bounds the target size of a pool, in instances.
const MaxPoolSize = 100_000

// PoolOrder is the operators' order for one pool.
type PoolOrder struct {
	Name string `json:"name" cbor:"name"`
	// Spare is the pool that replacements come from; empty means none.
	Spare string `json:"spare,omitempty" cbor:"spare,omitempty"`
	// Target is the number of members. Zero switches replacement off.
	Target int `json:"target" cbor:"target"`
}

func (c *checker) pool(o *Object) {
	p := o.Pool
	if p == nil || p.Name != o.Ref.Name {
		c.missing("pool.name", o.Ref.Name)
		return
	}
	if p.Spare != "" {
		c.name("pool.spare", p.Spare)
	}
	c.number("pool.target", int64(p.Target), 0, MaxPoolSize, "instances")
}
