package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

func explainWhereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "show where a job would go now and why, without sending it",
		Description: "The node is asked at its metrics address and must be the scheduler; another node names it. " +
			"The job is a known one (--job) or a job's body (--file), with its queue and team.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "metrics `ADDRESS` of the scheduler as ip:port", Required: true},
			&cli.StringFlag{Name: "job", Usage: "`ID` of a known job"},
			&cli.StringFlag{Name: "file", Usage: "`FILE` with the body of a job"},
			&cli.StringFlag{Name: "queue", Usage: "`NAME` of the queue, with --file"},
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team, with --file; none for a public queue"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: explainWhere,
	}
}

func explainWhere(_ context.Context, c *cli.Command) error {
	question, body, err := whereQuestion(c)
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	answer, err := askWhere(c.String("node"), question, body)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if c.Bool("json") {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	for i, rows := range whereTables(answer) {
		if i > 0 {
			fmt.Fprintln(c.Root().Writer)
		}
		if err := printTable(c.Root().Writer, rows); err != nil {
			return err
		}
	}
	return nil
}

// whereQuestion returns the parameters and the body of the question that the flags of a
// command describe. Errors name the flag.
func whereQuestion(c *cli.Command) (url.Values, []byte, error) {
	id, file, queue, team := c.String("job"), c.String("file"), c.String("queue"), c.String("team")
	switch {
	case c.Args().Present():
		return nil, nil, errors.Errorf("explain where takes no argument, but got %q", c.Args().First())
	case (id == "") == (file == ""):
		return nil, nil, errors.New("either --job or --file is required")
	case id != "" && (queue != "" || team != ""):
		return nil, nil, errors.New("--queue and --team are those of a job in --file; a known job has its own")
	case id != "":
		if _, ok := job.ParseID(id); !ok {
			return nil, nil, errors.Errorf("--job: %q is not 16 hexadecimal digits", id)
		}
		return url.Values{"job": {id}}, nil, nil
	case queue == "":
		return nil, nil, errors.New("--queue is required with --file")
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "--file")
	}
	return url.Values{"queue": {queue}, "team": {team}}, body, nil
}

// askWhere sends a question to a node.
func askWhere(address string, question url.Values, body []byte) (node.WhereAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + node.WherePath + "?" + question.Encode())
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(body)
	}
	var answer node.WhereAnswer
	if err := fasthttp.DoTimeout(req, resp, clientTimeout); err != nil {
		return answer, errors.Wrapf(err, "--node: %s", address)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), &answer); err != nil {
			return answer, errors.Wrapf(err, "--node: %s is not the metrics address of a node", address)
		}
		return answer, nil
	}
	var refused node.WhereError
	if json.Unmarshal(resp.Body(), &refused) != nil || refused.Error == "" {
		return answer, errors.Errorf("--node: %s answers with status %d; is it the metrics address of a node?", address, resp.StatusCode())
	}
	return answer, errors.New(refused.Error)
}

// whereTables returns the answer as tables: the job, its tasks, and the reasons against
// other workers.
func whereTables(a node.WhereAnswer) [][][]string {
	w := a.Where
	if w == nil {
		return [][][]string{{{"NODE", "ACCEPTED", "REASON"}, {a.Node, "no", a.Refusal}}}
	}
	accepted := "would be"
	if w.Job != "" {
		accepted = "yes, " + string(w.State)
	}
	queue := w.Queue
	if w.QueueRemoved {
		queue += " (removed)"
	}
	facts := [][]string{
		{"NODE", a.Node}, {"ACCEPTED", accepted}, {"QUEUE", queue}, {"SERVICE", w.Service},
		{"POOL", fmt.Sprintf("%d of %d workers usable, in use %s of %s", w.Pool.Usable, w.Pool.Workers, resourcesText(w.Pool.InUse), resourcesText(w.Pool.Capacity))},
		{"TEAM", teamText(w.Team)},
		{"ORDER", fmt.Sprintf("%s, %d jobs before it, %d of them with waiting tasks", w.Rank, w.JobsBefore, w.WaitingBefore)},
		{"OBJECTIVE", fmt.Sprintf("%d ms, %d ms left", w.ObjectiveMS, w.LeftMS)},
		{"BASED ON", fmt.Sprintf("configuration %d, %d ms old; jobs %d ms old; workers %d ms old", w.ConfigVersion, w.ConfigAgeMS, w.JobsAgeMS, w.WorkersAgeMS)},
	}
	tasks := [][]string{{"STEP", "TASKS", "NOW", "DATACENTRE", "RACK"}}
	against := [][]string{{"STEP", "SERVICE", "DATACENTRE", "RACK", "WORKERS", "REASON AGAINST"}}
	for _, s := range w.Steps {
		name := fmt.Sprintf("%d.%d", s.Occurrence, s.Step)
		tasks = append(tasks, stepRows(name, s)...)
		for _, g := range s.Against {
			against = append(against, []string{name, g.Service, dash(g.DataCentre), dash(g.Rack), fmt.Sprint(g.Workers), g.Reason})
		}
	}
	return [][][]string{facts, tasks, against}
}

func stepRows(name string, s scheduler.WhereStep) [][]string {
	var rows [][]string
	add := func(tasks int, now, dataCentre, rack string) {
		rows = append(rows, []string{name, fmt.Sprint(tasks), now, dash(dataCentre), dash(rack)})
	}
	if s.Running > 0 {
		add(s.Running, "have a run", "", "")
	}
	for _, start := range s.Starts {
		add(start.Tasks, "start on "+start.Worker, start.DataCentre, start.Rack)
	}
	for _, w := range s.Waits {
		add(w.Tasks, fmt.Sprintf("wait for the rack, expected %d ms, at most %d ms, to save %d ms", w.ExpectedMS, w.EndsInMS, w.GainMS), "", w.Rack)
	}
	if s.NoRoom > 0 {
		add(s.NoRoom, "wait for room", "", "")
	}
	if s.Blocked != "" {
		add(s.Open-s.Running, "do not start: "+s.Blocked, "", "")
	}
	return rows
}

func teamText(t scheduler.WhereTeam) string {
	if t.Name == "" {
		return "none"
	}
	return fmt.Sprintf("%s, weight %g, share factor %.2f, in use %s, limit %s", t.Name, t.Weight, t.Factor, resourcesText(t.InUse), resourcesText(t.Limit))
}

// resourcesText returns the resources that are not 0. A limit of 0 is none.
func resourcesText(r machine.Resources) string {
	var parts []string
	for _, p := range []struct {
		amount int64
		unit   string
	}{{r.MilliCores, "millicores"}, {r.MemoryMB, "MB"}, {r.Accelerators, "accelerators"}} {
		if p.amount != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", p.amount, p.unit))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// dash returns text, or a dash for an empty one.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
