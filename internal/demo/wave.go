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

// runWave starts a maintenance wave, waits until every machine of the pool has
// rebooted, and checks the availability minimum throughout.
func runWave(ctx context.Context, f *fleet) (string, error) {
	request := front.WaveRequest{Name: waveName, Pools: []string{pool}, Author: "demo"}
	if err := f.post("/v1/maintenance/wave/start", request); err != nil {
		return "", err
	}
	minServing := poolMachines
	rebooted := make(map[string]bool)
	err := eventually(ctx, func() error {
		minServing = min(minServing, f.servingMachines())
		return f.checkWaveDone(rebooted)
	})
	if err != nil {
		return "", err
	}
	if minServing < minAvailable {
		return "", errors.Errorf("only %d machines served", minServing)
	}
	return fmt.Sprintf("%d machines rebooted; at least %d of them served throughout", poolMachines, minAvailable), nil
}

// servingMachines returns the number of machines that are serving now.
func (f *fleet) servingMachines() int {
	n := 0
	for _, m := range f.store.CurrentMachines() {
		if m.State == "serving" {
			n++
		}
	}
	return n
}

// checkWaveDone adds the machines that rebooted since the last call to rebooted,
// and returns nil if all machines have rebooted and are serving again.
func (f *fleet) checkWaveDone(rebooted map[string]bool) error {
	for _, e := range f.store.TakeMachineEffects() {
		if e.Kind == "reboot" && e.Interrupted {
			return errors.Errorf("reboot of %s interrupted running requests", e.Machine)
		}
		if e.Kind == "reboot" {
			rebooted[e.Machine] = true
		}
	}
	if len(rebooted) < poolMachines || f.servingMachines() < poolMachines {
		return errors.Errorf("%d of %d machines rebooted, %d serving", len(rebooted), poolMachines, f.servingMachines())
	}
	return nil
}

// post sends a JSON request to the entry instance of data centre north.
func (f *fleet) post(path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[dataCentreNorth] + path)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return errors.Wrap(err, "send request")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("send request: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}
