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

// callTimeout bounds one HTTP call of the demo.
const callTimeout = 5 * time.Second

func steps() []step {
	return []step{
		{"put team, document and key", configure},
		{"send work to both data centres", sendWork},
		{"withdraw the key", withdrawKey},
		{"grant a new key", grantKey},
		{"take data centre north out", takeOut},
		{"bring data centre north back", bringBack},
		{"repeat a deposit with one idempotency key", repeatDeposit},
		{"reboot all machines in a maintenance wave", runWave},
	}
}

// reply is the answer to one piece of work.
type reply struct {
	outcome string
	body    string
}

// work sends one request to the entry instance of a data centre, with further
// headers given as name, value pairs.
func (f *fleet) work(centre, body string, headers ...string) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[centre] + "/v1/work/" + service)
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

// expect waits until work in a data centre ends with the given outcome.
func (f *fleet) expect(ctx context.Context, centre string, kind traffic.OutcomeKind) error {
	return eventually(ctx, func() error {
		r, err := f.work(centre, "probe")
		if err != nil {
			return err
		}
		if r.outcome != string(kind) {
			return errors.Errorf("outcome %s: %s", r.outcome, r.body)
		}
		return nil
	})
}

// change commits one object through the entry instance of data centre north.
func (f *fleet) change(id string, base uint64, object contract.Object) (uint64, error) {
	body, err := json.Marshal(contract.Change{ID: id, Author: "demo", Base: base, Object: object})
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.entries[centreNorth] + "/v1/config/change")
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

func configure(ctx context.Context, f *fleet) (string, error) {
	objects := []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindPool, Name: pool}, Pool: &contract.PoolOrder{Name: pool, Target: machines}},
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: team}, Team: &contract.Team{Name: team, UpperLimit: 16, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: service}, Document: &contract.Document{Service: service, Team: team, Pool: pool, MinAvailable: minAvailable}},
		keyObject(keyID),
	}
	var revision uint64
	for i, object := range objects {
		var err error
		if revision, err = f.change(fmt.Sprintf("setup-%d", i), 0, object); err != nil {
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

func sendWork(ctx context.Context, f *fleet) (string, error) {
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.expect(ctx, centre, traffic.Answered); err != nil {
			return centre, err
		}
		r, err := f.work(centre, "settle deposit 41")
		if err != nil {
			return centre, err
		}
		if r.body != "settle deposit 41" {
			return centre, errors.Errorf("answer %q", r.body)
		}
	}
	return "each caller got its own answer", nil
}

func withdrawKey(ctx context.Context, f *fleet) (string, error) {
	base, err := f.revisionOf(contract.KindKey, keyID)
	if err != nil {
		return "", err
	}
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: keyID}, Deleted: true}
	if _, err := f.change("withdraw", base, object); err != nil {
		return "", err
	}
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.expect(ctx, centre, traffic.NotRun); err != nil {
			return centre, err
		}
	}
	return "both data centres refuse it", nil
}

func grantKey(ctx context.Context, f *fleet) (string, error) {
	if _, err := f.change("grant", 0, keyObject(keyID+"-b")); err != nil {
		return "", err
	}
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.expect(ctx, centre, traffic.Answered); err != nil {
			return centre, err
		}
	}
	return "both data centres accept it", nil
}

// takeOut takes a data centre out and checks that nothing starts there while
// callers of its entry instance are still served by the other one.
func takeOut(ctx context.Context, f *fleet) (string, error) {
	if err := f.order("out", true); err != nil {
		return "", err
	}
	if err := eventually(ctx, func() error { return f.quiet(centreNorth) }); err != nil {
		return "", err
	}
	before := len(f.endpoints[centreSouth].Runs())
	if err := f.expect(ctx, centreNorth, traffic.Answered); err != nil {
		return "", err
	}
	moved := len(f.endpoints[centreSouth].Runs()) - before
	if moved == 0 {
		return "", errors.New("no request moved to data centre south")
	}
	return "no start in north; its callers are served by south", nil
}

// quiet reports an error when work sent now still starts in the data centre.
func (f *fleet) quiet(centre string) error {
	before := len(f.endpoints[centre].Runs())
	for range 10 {
		if _, err := f.work(centre, "probe"); err != nil {
			return err
		}
	}
	if started := len(f.endpoints[centre].Runs()) - before; started > 0 {
		return errors.Errorf("%d requests started in %s", started, centre)
	}
	return nil
}

func bringBack(ctx context.Context, f *fleet) (string, error) {
	if err := f.order("back", false); err != nil {
		return "", err
	}
	err := eventually(ctx, func() error {
		if f.quiet(centreNorth) == nil {
			return errors.New("no start in north")
		}
		return nil
	})
	return "work starts in north again", err
}

// order takes data centre north out or back.
func (f *fleet) order(id string, out bool) error {
	base, err := f.revisionOf(contract.KindDataCentre, centreNorth)
	if err != nil {
		return err
	}
	_, err = f.change(id, base, contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: centreNorth},
		DataCentre: &contract.DataCentreOrder{Name: centreNorth, Out: out, Reason: "demo"},
	})
	return err
}

// revisionOf returns the revision of an object, 0 when it does not exist.
func (f *fleet) revisionOf(kind contract.Kind, name string) (uint64, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+f.entries[centreNorth]+"/v1/config/"+string(kind), callTimeout)
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

// repeatDeposit sends the same deposit through both entry instances, as a caller
// does that lost the first answer, and checks that it ran once.
func repeatDeposit(ctx context.Context, f *fleet) (string, error) {
	before := f.runs()
	for _, centre := range []string{centreNorth, centreSouth} {
		r, err := f.work(centre, "deposit 42", front.HeaderIdempotencyKey, "deposit-42")
		if err != nil {
			return centre, err
		}
		if r.outcome != string(traffic.Answered) || r.body != "deposit 42" {
			return centre, errors.Errorf("outcome %s: %s", r.outcome, r.body)
		}
	}
	if ran := f.runs() - before; ran != 1 {
		return "", errors.Errorf("the deposit ran %d times", ran)
	}
	return "both callers got the answer, the deposit ran once", nil
}

// runs returns the number of requests that all endpoints have started.
func (f *fleet) runs() int {
	n := 0
	for _, e := range f.endpoints {
		n += len(e.Runs())
	}
	return n
}
