package control

import (
	"context"
	"time"
)

// SetWait replaces the pause between two attempts of a change.
func (c *Committer) SetWait(wait func(ctx context.Context, d time.Duration) bool) { c.wait = wait }
