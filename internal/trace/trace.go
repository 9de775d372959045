// Package trace reads the log files of several nodes and follows one request,
// job, task, worker or machine through them.
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

// maxLine bounds a line of a log file; longer ones are counted as unreadable.
const maxLine = 1 << 20

// Line is one decision about the traced id.
type Line struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"message"`
	Fields   map[string]string `json:"fields"`
}

// Trace is what the files say of one id.
type Trace struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Unreadable counts lines that are no log lines, such as truncated ones.
	Unreadable int `json:"unreadable"`
	// Cause is the decision that ended or holds up what was traced.
	Cause string `json:"cause"`
}

// ErrNoLog means that a file holds no log line at all.
var ErrNoLog = errors.New("the file holds no log line of a node")

// Collector gathers the lines of one id.
type Collector struct {
	trace Trace
	// pools are the newest summaries of pools, by service.
	pools []Line
}

// NewCollector returns a collector for an id.
func NewCollector(id string) *Collector { return &Collector{trace: Trace{ID: id}} }

// Read adds the lines of one file. Lines may carry a prefix before the JSON
// object, as collectors of logs write it.
func (c *Collector) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, 1<<16)
	logs, lines := 0, 0
	for {
		text, err := readLine(reader)
		if len(text) > 0 {
			lines++
			if c.add(text) {
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

// readLine returns the next line, cut at maxLine.
func readLine(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := r.ReadSlice('\n')
		if line.Len() < maxLine {
			line.Write(part)
		}
		if err != bufio.ErrBufferFull {
			return strings.TrimSpace(line.String()), err
		}
	}
}

// add takes one line and reports whether it is a log line.
func (c *Collector) add(text string) bool {
	start := strings.IndexByte(text, '{')
	var raw map[string]any
	if start < 0 || json.Unmarshal([]byte(text[start:]), &raw) != nil || raw["msg"] == nil {
		c.trace.Unreadable++
		return false
	}
	line := Line{Fields: make(map[string]string)}
	for key, value := range raw {
		text := plain(value)
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
		c.pools = append(c.pools, line)
	}
	if line.concerns(c.trace.ID) {
		c.trace.Lines = append(c.trace.Lines, line)
	}
	return true
}

func plain(value any) string {
	if text, ok := value.(string); ok {
		return text
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}

// concerns reports whether a field names the id, or a task of the job.
func (l *Line) concerns(id string) bool {
	for _, value := range l.Fields {
		if value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// Trace returns the lines in order of time with the cause.
func (c *Collector) Trace() Trace {
	slices.SortStableFunc(c.trace.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(c.pools, func(a, b Line) int { return a.Time.Compare(b.Time) })
	c.trace.Cause = c.cause()
	return c.trace
}

// decisive orders messages by how much they say about an end; later wins.
var decisive = []struct{ message, cause string }{
	{"scheduler: task started", "it has started and not ended"},
	{"scheduler: start refused", "a worker refused its start"},
	{"scheduler: start without an answer", "a worker did not answer its start"},
	{"scheduler: run lost", "its run was lost with a worker"},
	{"scheduler: run stalled", "its run made no progress"},
	{"scheduler: job completed", "it completed"},
	{"scheduler: job ended", "it was ended"},
	{"scheduler: job failed", "a task used up its attempts"},
	{"request: submit not-run", "it was refused and has not run"},
	{"request: submit unsettled", "the store did not confirm it"},
	{"request: submit bad-key", "its key is not known"},
	{"request: submit no-queue", "no queue matches it"},
	{"request: submit invalid", "it is malformed"},
}

// cause names the most decisive line, and for an accepted job what kept it from
// starting sooner.
func (c *Collector) cause() string {
	best, found := -1, Line{}
	accepted := false
	for _, line := range c.trace.Lines {
		accepted = accepted || line.Message == "request: submit accepted"
		rank := slices.IndexFunc(decisive, func(d struct{ message, cause string }) bool { return d.message == line.Message })
		if rank >= best && rank >= 0 {
			best, found = rank, line
		}
	}
	refused := best >= 0 && strings.HasPrefix(decisive[best].message, "request: submit")
	switch {
	case len(c.trace.Lines) == 0:
		return "no line names this id"
	case best < 0 && accepted:
		return "accepted and never started" + c.waited()
	case best < 0:
		return "no decision about it is on record"
	case refused && accepted:
		return "refused at one node and accepted at another" + c.waited()
	case refused:
		return decisive[best].cause + ": " + cmp.Or(found.Fields["reason"], "no reason given")
	}
	text := decisive[best].cause
	for _, key := range []string{"state", "reason", "worker", "task", "failures", "age_ms"} {
		if value := found.Fields[key]; value != "" {
			text += ", " + key + " " + value
		}
	}
	return text + c.waited()
}

// waited tells how long the first start took and what the pools showed
// meanwhile.
func (c *Collector) waited() string {
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
		if started.Sub(accepted) < slowStart {
			return text
		}
	}
	return text + c.poolsBetween(accepted, end)
}

// slowStart is the time to the first start above which the pools are named.
const slowStart = 500 * time.Millisecond

// poolsBetween names the pool that had most tasks waiting in a span.
func (c *Collector) poolsBetween(from, to time.Time) string {
	var worst Line
	most := 0
	for _, line := range c.pools {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		waiting := 0
		for _, field := range []string{waitingForRoom, waitingForCap, waitingForTakeover} {
			// A field that is missing or no number counts as nothing.
			n, _ := strconv.Atoi(line.Fields[field])
			waiting += n
		}
		if waiting > most {
			worst, most = line, waiting
		}
	}
	if most == 0 {
		return ""
	}
	f := worst.Fields
	text := "; meanwhile pool " + f["service"] + " had " + f[waitingForRoom] + " tasks waiting for room, " + f[waitingForCap] + " for their team's limit"
	if n := f[waitingForTakeover]; n != "" && n != "0" {
		text += ", " + n + " for workers after a takeover"
	}
	return text + ", " + f["usable"] + " of " + f["workers"] + " workers usable"
}

// Fields of a pool's line that say what its tasks wait for.
const (
	waitingForRoom     = "waiting_for_room"
	waitingForCap      = "waiting_for_cap"
	waitingForTakeover = "waiting_for_takeover"
)
