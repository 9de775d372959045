package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

// clientTimeout bounds one call of an operator command.
const clientTimeout = 15 * time.Second

// client calls the operator interface of one entry instance.
type client struct {
	address string
	asJSON  bool
	out     io.Writer
}

// entryFlags are the flags of every operator command.
func entryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`ADDRESS` of an entry instance as ip:port", Value: "127.0.0.1:8080", Sources: cli.EnvVars("CROCUSJUNCTION_ENTRY")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func newClient(c *cli.Command) *client {
	return &client{address: c.String("entry"), asJSON: c.Bool("json"), out: c.Root().Writer}
}

// get reads path into answer.
func (c *client) get(path string, answer any) error {
	return c.call(fasthttp.MethodGet, path, nil, answer)
}

// post sends body as JSON to path and reads the reply into answer.
func (c *client) post(path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.call(fasthttp.MethodPost, path, data, answer)
}

func (c *client) call(method, path string, body []byte, answer any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(body)
	return c.do(req, answer)
}

// do sends a prepared request and decodes the answer.
func (c *client) do(req *fasthttp.Request, answer any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := fasthttp.DoTimeout(req, resp, clientTimeout); err != nil {
		return cli.Exit(fmt.Sprintf("entry instance %s: %v", c.address, err), ExitUnknown)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return answerError(resp)
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// answerError turns an error answer into an exit code: unknown when the call
// may have taken effect.
func answerError(resp *fasthttp.Response) error {
	var rejected front.ChangeAnswer
	if err := json.Unmarshal(resp.Body(), &rejected); err == nil && rejected.Result != "" {
		return cli.Exit(string(rejected.Result)+": "+rejected.Reason, ExitFailed)
	}
	var e front.Error
	if err := json.Unmarshal(resp.Body(), &e); err != nil || e.Code == "" {
		return cli.Exit(string(resp.Body()), ExitFailed)
	}
	code := ExitFailed
	if e.Code == "unknown" {
		code = ExitUnknown
	}
	return cli.Exit(e.Code+": "+e.Reason, code)
}

// print writes value as JSON, or the rows as a table whose first row is the
// header.
func (c *client) print(value any, rows [][]string) error {
	if c.asJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
