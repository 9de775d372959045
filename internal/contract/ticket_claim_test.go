package contract

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newTestTable() *TicketTable { return NewTicketTable("entry-1", 7, []byte("secret")) }

// TestTicketRunsAtMostOnce guards against a ticket that starts a run while one
// is running or after one that may have run. It makes random calls, ends and
// pauses.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newTestTable(), start
		tickets := table.Issue(now, "depots", 3)
		running, mayHaveRun := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 240).Draw(t, "pause")) * time.Second)
			ticket := tickets[rapid.IntRange(0, 2).Draw(t, "ticket")]
			body := BodyHash{byte(rapid.IntRange(0, 1).Draw(t, "body"))}
			if rapid.Bool().Draw(t, "end") && running[ticket.Sequence] {
				state := rapid.SampledFrom([]RunState{RunAnswered, RunUnknown, RunNotRun}).Draw(t, "kind")
				table.End(now, ticket.Sequence, Run{State: state, Body: []byte("answer")})
				running[ticket.Sequence] = false
				if state != RunNotRun {
					mayHaveRun[ticket.Sequence] = true
				}
				continue
			}
			run := table.Begin(now, ticket, "depots", body)
			if run.State == RunStart {
				if running[ticket.Sequence] || mayHaveRun[ticket.Sequence] {
					t.Fatalf("ticket %d started a second run", ticket.Sequence)
				}
				running[ticket.Sequence] = true
			}
			if run.State == RunAnswered && !mayHaveRun[ticket.Sequence] {
				t.Fatalf("ticket %d has an answer without a run", ticket.Sequence)
			}
		}
	})
}

// TestTicketRefusals guards against runs for forged tickets, tickets of another
// team or an earlier incarnation, and tickets reused with another body.
func TestTicketRefusals(t *testing.T) {
	table := newTestTable()
	ticket := table.Issue(start, "depots", 1)[0]
	parsed, err := ParseTicket(ticket.String())
	if err != nil || parsed != ticket {
		t.Fatalf("parsed %+v, error %v", parsed, err)
	}
	forged := ticket
	forged.Sequence++
	older := ticket
	older.Incarnation--
	for _, c := range []struct {
		name   string
		ticket Ticket
		team   string
		want   RunState
	}{
		{"forged", forged, "depots", RunRefused},
		{"other team", ticket, "fairs", RunRefused},
		{"earlier incarnation", older, "depots", RunUnknown},
		{"first use", ticket, "depots", RunStart},
		{"repeat", ticket, "depots", RunRunning},
	} {
		if run := table.Begin(start, c.ticket, c.team, BodyHash{1}); run.State != c.want {
			t.Errorf("%s: unexpected state %s", c.name, run.State)
		}
	}
	if run := table.Begin(start, ticket, "depots", BodyHash{2}); run.State != RunOtherBody {
		t.Errorf("other body: unexpected state %s", run.State)
	}
}

// TestTicketTableIsBounded guards against tickets or answers that accumulate in
// memory without bound.
func TestTicketTableIsBounded(t *testing.T) {
	table := newTestTable()
	issued := 0
	for {
		list := table.Issue(start, "depots", MaxTicketsPerCall)
		if len(list) == 0 {
			break
		}
		for _, ticket := range list[:20] {
			table.Begin(start, ticket, "depots", BodyHash{})
			table.End(start, ticket.Sequence, Run{State: RunAnswered, Body: make([]byte, 64<<10)})
		}
		issued += len(list)
	}
	if held, bytes := table.Held(); issued > maxTickets || held != issued || bytes > maxAnswerBytes {
		t.Errorf("issued %d, held %d with %d bytes", issued, held, bytes)
	}
	if list := table.Issue(start.Add(TicketLife), "depots", 1); len(list) != 1 {
		t.Error("no ticket issued after the first ones expired")
	}
	if held, bytes := table.Held(); held != 1 || bytes != 0 {
		t.Errorf("held %d with %d bytes after expiry", held, bytes)
	}
}

// TestClaimStartsOnlyOwnRun guards against a call that runs the request
// although another call made the claim, and against a call that does not run it
// because the answer of its own write was lost.
func TestClaimStartsOnlyOwnRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := NewClaim("entry-1", 1, rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "nonce"), BodyHash{1})
		held.State = rapid.SampledFrom([]RunState{RunRunning, RunAnswered, RunUnknown}).Draw(t, "kind")
		own := NewClaim("entry-2", 1, "r1", BodyHash{byte(rapid.IntRange(1, 2).Draw(t, "body"))})
		run := held.StateFor(own)
		starts := held.Nonce == own.Nonce && held.State == RunRunning && held.Body == own.Body
		if (run.State == RunStart) != starts {
			t.Fatalf("held %+v, own %+v: %s", held, own, run.State)
		}
		if held.Body != own.Body && run.State != RunOtherBody {
			t.Fatalf("other body: unexpected state %s", run.State)
		}
	})
}

// TestClaimNamesAreDistinct guards against a claim that is shared by keys of
// different teams or services.
func TestClaimNamesAreDistinct(t *testing.T) {
	names := map[string]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"", "ab", "c"}, {"b", "a", "c"}} {
		names[ClaimName(parts[0], parts[1], parts[2])] = true
	}
	if len(names) != 5 {
		t.Errorf("%d names for 5 keys", len(names))
	}
}
