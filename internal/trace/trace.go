// Package trace collects the log lines about one request, job, task, worker or
// machine from the log files of several nodes and names the cause of its
// outcome.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes is the length in bytes at which a line of a log file is
// truncated. A truncated line cannot be parsed and counts as unreadable.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Trace is the history of one ID.
type Trace struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Unreadable is the number of lines that could not be parsed as log lines,
	// such as truncated ones.
	Unreadable int `json:"unreadable"`
	// Cause names the decision that determined the outcome, or what the traced
	// object waited for.
	Cause string `json:"cause"`
}

// ErrNoLog means that a file with content has no log line of a node.
var ErrNoLog = errors.New("file has no log line of a node")

// Collector collects the lines of one ID. It is not safe for concurrent use.
type Collector struct {
	trace Trace
	// poolLines are the lines that summarize a pool, of all services.
	poolLines []Line
}

// NewCollector returns a collector of the lines that name id.
func NewCollector(id string) *Collector { return &Collector{trace: Trace{ID: id}} }

// Read adds the lines of one file. A line may have a prefix before its JSON
// object, as log collectors add one.
func (c *Collector) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, 1<<16)
	logs, lines := 0, 0
	for {
		text, err := readLine(reader)
		if len(text) > 0 {
			lines++
			if c.addLine(text) {
				logs++
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
	}
	if logs == 0 && lines > 0 {
		return ErrNoLog
	}
	return nil
}

// readLine returns the next line, truncated to about maxLineBytes.
func readLine(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := r.ReadSlice('\n')
		if line.Len() < maxLineBytes {
			line.Write(part)
		}
		if err != bufio.ErrBufferFull {
			return strings.TrimSpace(line.String()), err
		}
	}
}

// addLine parses one line, keeps it if it names the traced ID or summarizes a
// pool, and reports whether it is a log line.
func (c *Collector) addLine(text string) bool {
	start := strings.IndexByte(text, '{')
	var raw map[string]any
	if start < 0 || json.Unmarshal([]byte(text[start:]), &raw) != nil || raw["msg"] == nil {
		c.trace.Unreadable++
		return false
	}
	line := Line{Fields: make(map[string]string)}
	for key, value := range raw {
		text := fieldText(value)
		switch key {
		case "msg":
			line.Message = text
		case "instance":
			line.Instance = text
		case "time":
			line.Time, _ = time.Parse(time.RFC3339Nano, text)
		case "level":
		default:
			line.Fields[key] = text
		}
	}
	if line.Message == "scheduler: pool" {
		c.poolLines = append(c.poolLines, line)
	}
	if line.mentions(c.trace.ID) {
		c.trace.Lines = append(c.trace.Lines, line)
	}
	return true
}

// fieldText returns a string as it is and any other value as JSON.
func fieldText(value any) string {
	if text, ok := value.(string); ok {
		return text
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}

// mentions reports whether a field is the ID or, if the ID is that of a job,
// one of its tasks.
func (l *Line) mentions(id string) bool {
	for _, value := range l.Fields {
		if value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// Trace returns the collected lines, sorted by time, with the cause.
func (c *Collector) Trace() Trace {
	slices.SortStableFunc(c.trace.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(c.poolLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	c.trace.Cause = c.describeCause()
	return c.trace
}

// causeMessages lists the log messages that explain the outcome or the state of a
// job, in increasing order of precedence.
var causeMessages = []struct{ message, cause string }{
	{"scheduler: task started", "it has started and not ended"},
	{"scheduler: start refused", "a worker refused its start"},
	{"scheduler: start without an answer", "a worker did not answer its start"},
	{"scheduler: run lost", "its run was lost with a worker"},
	{"scheduler: run stalled", "its run made no progress"},
	{"scheduler: job completed", "it completed"},
	{"scheduler: job ended", "it was ended"},
	{"scheduler: job failed", "a task used up its attempts"},
	{"request: submit over-capacity", "it was refused, because it could not be completed in time to be of use, and has not run"},
	{"request: submit not-run", "it was refused and has not run"},
	{"request: submit cancelled-before", "it was cancelled before it was stored and never runs"},
	{"request: submit unsettled", "the store did not confirm it"},
	{"request: submit bad-key", "its key is not known"},
	{"request: submit no-queue", "no queue matches it"},
	{"request: submit invalid", "it is malformed"},
}

// describeCause describes the line with the highest precedence in causeMessages
// and, for an accepted job, what delayed its first start.
func (c *Collector) describeCause() string {
	bestRank, bestLine := -1, Line{}
	accepted := false
	for _, line := range c.trace.Lines {
		accepted = accepted || line.Message == "request: submit accepted"
		rank := slices.IndexFunc(causeMessages, func(d struct{ message, cause string }) bool { return d.message == line.Message })
		if rank >= bestRank && rank >= 0 {
			bestRank, bestLine = rank, line
		}
	}
	refused := bestRank >= 0 && strings.HasPrefix(causeMessages[bestRank].message, "request: submit")
	switch {
	case len(c.trace.Lines) == 0:
		return "no line names this id"
	case bestRank < 0 && accepted:
		return "accepted and never started" + c.describeWait()
	case bestRank < 0:
		return "no decision about it is on record"
	case refused && accepted:
		return "refused at one node and accepted at another" + c.describeWait()
	case refused:
		return causeMessages[bestRank].cause + ": " + cmp.Or(bestLine.Fields["reason"], "no reason given")
	}
	text := causeMessages[bestRank].cause
	for _, key := range []string{"state", "reason", "worker", "task", "failures", "age_ms"} {
		if value := bestLine.Fields[key]; value != "" {
			text += ", " + key + " " + value
		}
	}
	return text + c.describeWait()
}

// describeWait describes how long an accepted job waited for its first start. If
// it waited at least slowStartThreshold or has not started, describeWait also describes
// the pool with the most waiting tasks in that time.
func (c *Collector) describeWait() string {
	var accepted, started time.Time
	for _, line := range c.trace.Lines {
		if accepted.IsZero() && line.Message == "request: submit accepted" {
			accepted = line.Time
		}
		if started.IsZero() && line.Message == "scheduler: task started" {
			started = line.Time
		}
	}
	if accepted.IsZero() {
		return ""
	}
	end := started
	text := ""
	if started.IsZero() {
		end = accepted.Add(time.Hour)
	} else {
		text = "; first start after " + started.Sub(accepted).Round(time.Millisecond).String()
		if started.Sub(accepted) < slowStartThreshold {
			return text
		}
	}
	return text + c.describeBusiestPool(accepted, end)
}

// slowStartThreshold is the time from the acceptance of a job to its first start
// from which describeWait also describes the busiest pool.
const slowStartThreshold = 500 * time.Millisecond

// describeBusiestPool describes the pool that had the most waiting tasks between
// two times.
func (c *Collector) describeBusiestPool(from, to time.Time) string {
	var busiest Line
	maxWaiting := 0
	for _, line := range c.poolLines {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		waiting := 0
		for _, field := range []string{waitingForRoom, waitingForCap, waitingForTakeover} {
			// A field that is missing or not a number counts as 0.
			n, _ := strconv.Atoi(line.Fields[field])
			waiting += n
		}
		if waiting > maxWaiting {
			busiest, maxWaiting = line, waiting
		}
	}
	if maxWaiting == 0 {
		return ""
	}
	f := busiest.Fields
	text := "; meanwhile pool " + f["service"] + " had " + f[waitingForRoom] + " tasks waiting for room, " + f[waitingForCap] + " for their team's limit"
	if n := f[waitingForTakeover]; n != "" && n != "0" {
		text += ", " + n + " for workers after a takeover"
	}
	return text + ", " + f["usable"] + " of " + f["workers"] + " workers usable"
}

// Fields of a pool's log line, each with the number of tasks that wait for one
// reason.
const (
	waitingForRoom     = "waiting_for_room"
	waitingForCap      = "waiting_for_cap"
	waitingForTakeover = "waiting_for_takeover"
)
