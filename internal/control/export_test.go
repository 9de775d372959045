package control

import (
	"context"
	"time"
)

// SetSleep replaces the function that waits between two attempts at a change.
func (c *Committer) SetSleep(sleep func(ctx context.Context, d time.Duration) bool) {
	c.sleepFunc = sleep
}
