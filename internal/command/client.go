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

// clientTimeout bounds one HTTP request of an operator command.
const clientTimeout = 15 * time.Second

// client calls the HTTP interface of one entry instance and prints the answers.
type client struct {
	address string
	asJSON  bool
	// key is the secret sent with requests on behalf of a team. No key is sent
	// when it is empty.
	key string
	out io.Writer
}

// entryInstanceFlags returns the flags of every command that calls an entry
// instance.
func entryInstanceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`ADDRESS` of an entry instance as ip:port", Value: "127.0.0.1:8080", Sources: cli.EnvVars("CROCUSJUNCTION_ENTRY")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// newClient returns a client for the entry instance that the flags of c name.
func newClient(c *cli.Command) *client {
	return &client{address: c.String("entry"), asJSON: c.Bool("json"), out: c.Root().Writer}
}

// get sends a GET request and decodes the JSON reply into answer.
func (c *client) get(path string, answer any) error {
	return c.call(fasthttp.MethodGet, path, nil, answer)
}

// post sends a POST request with body as JSON and decodes the JSON reply into
// answer.
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
	if c.key != "" {
		req.Header.Set(front.HeaderKey, c.key)
	}
	return c.do(req, answer)
}

// do sends a request and decodes the JSON reply into answer. The error carries
// the exit code: ExitUnknown when no reply arrived, since the request may have
// taken effect.
func (c *client) do(req *fasthttp.Request, answer any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := fasthttp.DoTimeout(req, resp, clientTimeout); err != nil {
		return cli.Exit(fmt.Sprintf("entry instance %s: %v", c.address, err), ExitUnknown)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return errorFromReply(resp)
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// errorFromReply returns the error for an error reply. It carries the exit code:
// ExitUnknown when the request may have taken effect.
func errorFromReply(resp *fasthttp.Response) error {
	var change front.ChangeAnswer
	if err := json.Unmarshal(resp.Body(), &change); err == nil && change.Result != "" {
		return cli.Exit(string(change.Result)+": "+change.Reason, ExitFailed)
	}
	var reply front.Error
	if err := json.Unmarshal(resp.Body(), &reply); err != nil || reply.Code == "" {
		return cli.Exit(string(resp.Body()), ExitFailed)
	}
	code := ExitFailed
	if reply.Code == "unknown" {
		code = ExitUnknown
	}
	return cli.Exit(reply.Code+": "+reply.Reason, code)
}

// print writes value as JSON if the json flag is set, otherwise rows as a table.
// The first row is the header.
func (c *client) print(value any, rows [][]string) error {
	if c.asJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return printTable(c.out, rows)
}

// printTable writes rows in aligned columns.
func printTable(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
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
