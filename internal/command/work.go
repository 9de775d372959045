package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// replyGrace is the time that the command waits for the reply after the deadline
// of its request.
const replyGrace = 5 * time.Second

func workCommand() *cli.Command {
	return &cli.Command{
		Name:      "work",
		Usage:     "send one request; exit code 0 when answered, 1 when not run, 3 when unknown",
		ArgsUsage: "SERVICE",
		Flags: append(entryInstanceFlags(), keyFlag(),
			&cli.StringFlag{Name: "body", Usage: "`TEXT` of the request; @FILE reads a file"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of the request as a `TIME` from now", Value: front.DefaultDeadline},
			&cli.StringFlag{Name: "idempotency-key", Usage: "`KEY` or ticket that identifies the request across repeats"},
			&cli.BoolFlag{Name: "non-idempotent", Usage: "forbid a retry after an endpoint may have run the request, even when the document allows it"},
		),
		Action: sendWork,
	}
}

// workResult is the JSON output of "work".
type workResult struct {
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
	Repeated  bool   `json:"repeated"`
	Status    int    `json:"status"`
	Body      string `json:"body,omitempty"`
	Code      string `json:"code,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

func sendWork(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("work needs the name of a service", ExitUsage)
	}
	body, err := readBody(c.String("body"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	api := newClient(c)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + api.address + "/v1/work/" + c.Args().First())
	req.Header.Set(front.HeaderKey, c.String("key"))
	req.Header.Set(front.HeaderDeadline, fmt.Sprint(c.Duration("deadline").Milliseconds()))
	if key := c.String("idempotency-key"); key != "" {
		req.Header.Set(front.HeaderIdempotencyKey, key)
	}
	if c.Bool("non-idempotent") {
		req.Header.Set(front.HeaderIdempotent, "false")
	}
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, c.Duration("deadline")+replyGrace); err != nil {
		return cli.Exit(fmt.Sprintf("unknown: entry instance %s: %v", api.address, err), ExitUnknown)
	}
	return printReply(api, resp)
}

// readBody returns the request body from the body flag, which holds the body or
// the path of a file after @.
func readBody(text string) ([]byte, error) {
	if len(text) > 0 && text[0] == '@' {
		return os.ReadFile(text[1:])
	}
	return []byte(text), nil
}

// printReply prints the reply to a request. The returned error carries the exit
// code for the outcome.
func printReply(api *client, resp *fasthttp.Response) error {
	result := workResult{
		Outcome:   string(resp.Header.Peek(front.HeaderOutcome)),
		RequestID: string(resp.Header.Peek(front.HeaderRequestID)),
		Repeated:  string(resp.Header.Peek(front.HeaderRepeated)) == "true",
		Status:    resp.StatusCode(),
	}
	if result.Outcome == string(traffic.Answered) {
		result.Body = string(resp.Body())
	} else {
		var e front.Error
		_ = json.Unmarshal(resp.Body(), &e)
		result.Code, result.Reason = e.Code, e.Reason
	}
	err := api.print(result, [][]string{
		{"OUTCOME", "REQUEST", "REPEATED", "STATUS", "CODE", "REASON", "BODY"},
		{result.Outcome, result.RequestID, fmt.Sprint(result.Repeated), fmt.Sprint(result.Status), result.Code, result.Reason, result.Body},
	})
	if err != nil {
		return err
	}
	switch traffic.OutcomeKind(result.Outcome) {
	case traffic.Answered:
		return nil
	case traffic.NotRun:
		return cli.Exit("not run: "+result.Reason, ExitFailed)
	default:
		return cli.Exit("unknown: "+result.Reason, ExitUnknown)
	}
}
