package intake

import "time"

// AnswerTimeout returns how long the writing of a part of an answer may take.
func (g *Gate) AnswerTimeout(bytes int) time.Duration { return answerGrace + g.transferTime(bytes) }

func (g *Gate) transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(g.capacity.MinBytesPerSecond)
}

// Overdue returns the connections that have to end at now, with the reason. It returns a
// connection whose body is too slow only once; its refusal is still to be written.
func (g *Gate) Overdue(now time.Time) map[*Connection]Reason {
	overdue := make(map[*Connection]Reason)
	for s := range g.connections {
		for c := range g.connections[s] {
			if r := g.overdue(c, now); r != "" {
				overdue[c] = r
				if r != Idle {
					g.refuse(r)
				}
				if r == BodyTooSlow {
					c.enter(closing, now)
				}
			}
		}
	}
	return overdue
}

func (g *Gate) overdue(c *Connection, now time.Time) Reason {
	age := now.Sub(c.since)
	switch c.phase {
	case quiet:
		if age > idleFactor*g.limits.IdleTimeout {
			return Idle
		}
	case head:
		if age > g.limits.HeaderTimeout {
			return HeadTooSlow
		}
	case body:
		grace := stallGrace
		if now.Before(g.pressedUntil) {
			grace = pressedStallGrace
		}
		if now.Sub(c.stepSince) > grace+g.transferTime(progressStep) || age > g.limits.HeaderTimeout+g.transferTime(c.bytes) {
			return BodyTooSlow
		}
	case closing:
		if age > maxClosing {
			return Idle
		}
	}
	return ""
}

// Waiting returns the connections on which no request is expected to be under way, and
// whether any other connection of the server is open.
func (g *Gate) Waiting(s Server, now time.Time) (waiting []*Connection, unfinished bool) {
	for c := range g.connections[s] {
		if c.phase == quiet && (c.proven || now.Sub(c.since) >= firstRequestGrace) {
			waiting = append(waiting, c)
		} else {
			unfinished = true
		}
	}
	return waiting, unfinished
}
