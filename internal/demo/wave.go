package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

const waveName = "demo"

// runWave starts a wave and waits until every machine of the pool has rebooted.
func runWave(ctx context.Context, f *fleet) (string, error) {
	order := front.WaveRequest{Name: waveName, Pools: []string{pool}, Author: "demo"}
	if err := f.post("/v1/maintenance/wave/start", order); err != nil {
		return "", err
	}
	least := machines
	rebooted := make(map[string]bool)
	err := eventually(ctx, func() error {
		least = min(least, f.serving())
		return f.waveDone(rebooted)
	})
	if err != nil {
		return "", err
	}
	if least < minAvailable {
		return "", errors.Errorf("only %d machines served", least)
	}
	return fmt.Sprintf("%d machines rebooted; at least %d of them served throughout", machines, minAvailable), nil
}

// serving returns the number of machines that serve now.
func (f *fleet) serving() int {
	n := 0
	for _, m := range f.store.Truth() {
		if m.State == "serving" {
			n++
		}
	}
	return n
}

// waveDone adds the machines that rebooted since the last call, and returns nil
// when all have rebooted and serve again.
func (f *fleet) waveDone(rebooted map[string]bool) error {
	for _, e := range f.store.Effects() {
		if e.Kind == "reboot" && e.Cut {
			return errors.Errorf("the reboot of %s cut off requests", e.Machine)
		}
		if e.Kind == "reboot" {
			rebooted[e.Machine] = true
		}
	}
	if len(rebooted) < machines || f.serving() < machines {
		return errors.Errorf("%d of %d machines rebooted, %d serve", len(rebooted), machines, f.serving())
	}
	return nil
}

// post sends a JSON order to the entry instance of data centre north.
func (f *fleet) post(path string, order any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[centreNorth] + path)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return errors.Wrap(err, "send order")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("order: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}
