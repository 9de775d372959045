package control

import (
	"context"
	"time"
)

// SetSleep replaces the delay between two attempts of a change.
func (c *Committer) SetSleep(sleep func(ctx context.Context, d time.Duration) bool) {
	c.sleepFunc = sleep
}
