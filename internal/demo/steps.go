package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// callTimeout bounds one HTTP call to an entry instance.
const callTimeout = 5 * time.Second

func entrySteps() []step {
	return []step{
		{"put team, document and key", configure},
		{"send work to both data centres", sendWork},
		{"withdraw the key", withdrawKey},
		{"grant a new key", grantKey},
		{"take data centre north out", takeOutDataCentre},
		{"bring data centre north back", bringBackDataCentre},
		{"repeat a deposit with one idempotency key", repeatDeposit},
		{"reboot all machines in a maintenance wave", runWave},
	}
}

// reply is the response to one request.
type reply struct {
	outcome string
	body    string
}

// send sends one request to the entry instance of a data centre. Additional
// headers are given as name, value pairs.
func (f *fleet) send(dataCentre, body string, headers ...string) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[dataCentre] + "/v1/work/" + service)
	req.Header.Set(front.HeaderKey, secret)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return reply{}, errors.Wrap(err, "send work")
	}
	return reply{outcome: string(resp.Header.Peek(front.HeaderOutcome)), body: string(resp.Body())}, nil
}

// awaitOutcome sends requests to a data centre until one ends with the given
// outcome.
func (f *fleet) awaitOutcome(ctx context.Context, dataCentre string, kind traffic.OutcomeKind) error {
	return eventually(ctx, func() error {
		r, err := f.send(dataCentre, "probe")
		if err != nil {
			return err
		}
		if r.outcome != string(kind) {
			return errors.Errorf("outcome %s: %s", r.outcome, r.body)
		}
		return nil
	})
}

// commitChange commits one object through the entry instance of data centre
// north, and returns its revision. Base is the revision that it replaces, 0 for
// a new object.
func (f *fleet) commitChange(id string, base uint64, object contract.Object) (uint64, error) {
	body, err := json.Marshal(contract.Change{ID: id, Author: "demo", Base: base, Object: object})
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[dataCentreNorth] + "/v1/config/change")
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return 0, errors.Wrap(err, "send change")
	}
	var answer front.ChangeAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0, errors.Wrap(err, "decode answer")
	}
	if answer.Result != contract.ChangeAccepted {
		return 0, errors.Errorf("change %s: %s", id, resp.Body())
	}
	return answer.Revision, nil
}

// configure commits the pool, the team, the document and the key.
func configure(ctx context.Context, f *fleet) (string, error) {
	objects := []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindPool, Name: pool}, Pool: &contract.PoolOrder{Name: pool, Target: poolMachines}},
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: team}, Team: &contract.Team{Name: team, UpperLimit: 16, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: service}, Document: &contract.Document{Service: service, Team: team, Pool: pool, MinAvailable: minAvailable}},
		keyObject(keyID),
	}
	var revision uint64
	for i, object := range objects {
		var err error
		if revision, err = f.commitChange(fmt.Sprintf("setup-%d", i), 0, object); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("accepted at revision %d", revision), nil
}

func keyObject(id string) contract.Object {
	return contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: id},
		Key: &contract.Key{ID: id, Team: team, Hash: traffic.HashSecret(secret)},
	}
}

// sendWork sends a request to each data centre and checks the response.
func sendWork(ctx context.Context, f *fleet) (string, error) {
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.awaitOutcome(ctx, dataCentre, traffic.Answered); err != nil {
			return dataCentre, err
		}
		r, err := f.send(dataCentre, "settle deposit 41")
		if err != nil {
			return dataCentre, err
		}
		if r.body != "settle deposit 41" {
			return dataCentre, errors.Errorf("answer %q", r.body)
		}
	}
	return "each caller got its own answer", nil
}

// withdrawKey deletes the key and checks that both data centres reject it.
func withdrawKey(ctx context.Context, f *fleet) (string, error) {
	base, err := f.revisionOf(contract.KindKey, keyID)
	if err != nil {
		return "", err
	}
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: keyID}, Deleted: true}
	if _, err := f.commitChange("withdraw", base, object); err != nil {
		return "", err
	}
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.awaitOutcome(ctx, dataCentre, traffic.NotRun); err != nil {
			return dataCentre, err
		}
	}
	return "both data centres reject it", nil
}

// grantKey grants the same secret under a new key id and checks that both data
// centres accept it.
func grantKey(ctx context.Context, f *fleet) (string, error) {
	if _, err := f.commitChange("grant", 0, keyObject(keyID+"-b")); err != nil {
		return "", err
	}
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.awaitOutcome(ctx, dataCentre, traffic.Answered); err != nil {
			return dataCentre, err
		}
	}
	return "both data centres accept it", nil
}

// takeOutDataCentre takes data centre north out and checks that no request
// starts there, while the other data centre serves the callers of its entry
// instance.
func takeOutDataCentre(ctx context.Context, f *fleet) (string, error) {
	if err := f.orderDataCentre("out", true); err != nil {
		return "", err
	}
	if err := eventually(ctx, func() error { return f.checkNoStarts(dataCentreNorth) }); err != nil {
		return "", err
	}
	before := len(f.endpoints[dataCentreSouth].Runs())
	if err := f.awaitOutcome(ctx, dataCentreNorth, traffic.Answered); err != nil {
		return "", err
	}
	moved := len(f.endpoints[dataCentreSouth].Runs()) - before
	if moved == 0 {
		return "", errors.New("no request moved to data centre south")
	}
	return "no start in north; its callers are served by south", nil
}

// checkNoStarts returns an error if one of several requests to the entry
// instance of a data centre starts at the data centre's endpoint.
func (f *fleet) checkNoStarts(dataCentre string) error {
	before := len(f.endpoints[dataCentre].Runs())
	for range 10 {
		if _, err := f.send(dataCentre, "probe"); err != nil {
			return err
		}
	}
	if started := len(f.endpoints[dataCentre].Runs()) - before; started > 0 {
		return errors.Errorf("%d requests started in %s", started, dataCentre)
	}
	return nil
}

// bringBackDataCentre brings data centre north back and checks that requests
// start there again.
func bringBackDataCentre(ctx context.Context, f *fleet) (string, error) {
	if err := f.orderDataCentre("back", false); err != nil {
		return "", err
	}
	err := eventually(ctx, func() error {
		if f.checkNoStarts(dataCentreNorth) == nil {
			return errors.New("no start in north")
		}
		return nil
	})
	return "work starts in north again", err
}

// orderDataCentre takes data centre north out, or brings it back.
func (f *fleet) orderDataCentre(changeID string, out bool) error {
	base, err := f.revisionOf(contract.KindDataCentre, dataCentreNorth)
	if err != nil {
		return err
	}
	_, err = f.commitChange(changeID, base, contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: dataCentreNorth},
		DataCentre: &contract.DataCentreOrder{Name: dataCentreNorth, Out: out, Reason: "demo"},
	})
	return err
}

// revisionOf returns the revision of an object, or 0 if it does not exist.
func (f *fleet) revisionOf(kind contract.Kind, name string) (uint64, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+f.entries[dataCentreNorth]+"/v1/config/"+string(kind), callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return 0, errors.Errorf("list %s: status %d, error %v", kind, status, err)
	}
	var list front.ObjectList
	if err := json.Unmarshal(body, &list); err != nil {
		return 0, errors.Wrap(err, "decode list")
	}
	for _, o := range list.Objects {
		if o.Ref.Name == name {
			return o.Revision, nil
		}
	}
	return 0, nil
}

// repeatDeposit sends the same deposit to both entry instances, as a caller does
// that did not receive the first answer, and checks that it ran once.
func repeatDeposit(ctx context.Context, f *fleet) (string, error) {
	before := f.runCount()
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		r, err := f.send(dataCentre, "deposit 42", front.HeaderIdempotencyKey, "deposit-42")
		if err != nil {
			return dataCentre, err
		}
		if r.outcome != string(traffic.Answered) || r.body != "deposit 42" {
			return dataCentre, errors.Errorf("outcome %s: %s", r.outcome, r.body)
		}
	}
	if ran := f.runCount() - before; ran != 1 {
		return "", errors.Errorf("the deposit ran %d times", ran)
	}
	return "both callers got the answer, the deposit ran once", nil
}

// runCount returns the number of requests that all endpoints together have run.
func (f *fleet) runCount() int {
	n := 0
	for _, e := range f.endpoints {
		n += len(e.Runs())
	}
	return n
}
