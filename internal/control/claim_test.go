package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

func claimFor(nonce string, body byte) contract.Claim {
	return contract.NewClaim("entry-1", 1, nonce, contract.BodyHash{body})
}

func timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// TestClaimCostsAndRepeats guards against a keyed request that costs more
// platform calls than the claim, its end and the shared lease, and against a
// repeat that gets another answer than the first call or is accepted with another
// body.
func TestClaimCostsAndRepeats(t *testing.T) {
	store := standin.NewStore(time.Now)
	claims := control.NewClaims(store, time.Now, quietLog())
	ctx, cancel := timeoutContext(10 * time.Second)
	defer cancel()
	held, run, err := claims.Claim(ctx, "claim/a", claimFor("r1", 1))
	if err != nil || run.State != contract.RunStart {
		t.Fatalf("first: %s, error %v", run.State, err)
	}
	claims.Finish(ctx, held, contract.Run{State: contract.RunAnswered, Status: 200, Body: []byte("done")})
	const lease, claim, end = 1, 1, 1
	if n := claims.Calls(); n != lease+claim+end {
		t.Errorf("%d platform calls for the first request", n)
	}
	_, run, err = claims.Claim(ctx, "claim/a", claimFor("r2", 1))
	if err != nil || run.State != contract.RunAnswered || string(run.Body) != "done" || run.Status != 200 {
		t.Errorf("repeat: %+v, error %v", run, err)
	}
	if n := claims.Calls(); n != lease+claim+end+2 {
		t.Errorf("%d platform calls after the repeat", n)
	}
	if _, run, _ = claims.Claim(ctx, "claim/a", claimFor("r3", 2)); run.State != contract.RunOtherBody {
		t.Errorf("other body: %s", run.State)
	}
}

// TestClaimAnswerLost guards against a call that does not run its request
// because the answer to its own claim was lost, and against a second call that
// runs it too.
func TestClaimAnswerLost(t *testing.T) {
	store := standin.NewStore(time.Now)
	claims := control.NewClaims(store, time.Now, quietLog())
	ctx, cancel := timeoutContext(10 * time.Second)
	defer cancel()
	if _, _, err := claims.Claim(ctx, "claim/warm", claimFor("r0", 1)); err != nil {
		t.Fatal(err)
	}
	store.SetStoreFaults(standin.StoreFaults{LoseAnswers: 1})
	if _, run, err := claims.Claim(ctx, "claim/a", claimFor("r1", 1)); err != nil || run.State != contract.RunStart {
		t.Errorf("own claim: %s, error %v", run.State, err)
	}
	short, cancelShort := timeoutContext(50 * time.Millisecond)
	defer cancelShort()
	if _, run, err := claims.Claim(short, "claim/a", claimFor("r2", 1)); err != nil || run.State != contract.RunRunning {
		t.Errorf("second call: %s, error %v", run.State, err)
	}
}

// TestRepeatWaitsForFirst guards against a repeat that does not get the answer
// of the first call, although that call ends before the repeat's deadline.
func TestRepeatWaitsForFirst(t *testing.T) {
	store := standin.NewStore(time.Now)
	first, second := control.NewClaims(store, time.Now, quietLog()), control.NewClaims(store, time.Now, quietLog())
	ctx, cancel := timeoutContext(10 * time.Second)
	defer cancel()
	held, _, err := first.Claim(ctx, "claim/a", claimFor("r1", 1))
	if err != nil {
		t.Fatal(err)
	}
	var repeat contract.Run
	var group sync.WaitGroup
	group.Go(func() { _, repeat, _ = second.Claim(ctx, "claim/a", claimFor("r2", 1)) })
	for store.Calls().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Finish(ctx, held, contract.Run{State: contract.RunAnswered, Body: []byte("done")})
	group.Wait()
	if repeat.State != contract.RunAnswered || string(repeat.Body) != "done" {
		t.Errorf("repeat: %+v", repeat)
	}
}

// TestKeyIsReusableAfterRequestDidNotRun guards against a key that stays claimed
// after its request was refused and the answer to the deletion of the claim was
// lost.
func TestKeyIsReusableAfterRequestDidNotRun(t *testing.T) {
	store := standin.NewStore(time.Now)
	claims := control.NewClaims(store, time.Now, quietLog())
	ctx, cancel := timeoutContext(10 * time.Second)
	defer cancel()
	held, _, err := claims.Claim(ctx, "claim/a", claimFor("r1", 1))
	if err != nil {
		t.Fatal(err)
	}
	store.SetStoreFaults(standin.StoreFaults{LoseAnswers: 1})
	claims.Finish(ctx, held, contract.Run{State: contract.RunNotRun})
	if _, run, err := claims.Claim(ctx, "claim/a", claimFor("r2", 1)); err != nil || run.State != contract.RunStart {
		t.Errorf("second call: %s, error %v", run.State, err)
	}
}

// TestOutageRefusesClaim guards against a keyed request that runs without a
// claim during an outage of the platform.
func TestOutageRefusesClaim(t *testing.T) {
	store := standin.NewStore(time.Now)
	store.SetStoreFaults(standin.StoreFaults{Outage: true})
	claims := control.NewClaims(store, time.Now, quietLog())
	ctx, cancel := timeoutContext(10 * time.Second)
	defer cancel()
	if _, _, err := claims.Claim(ctx, "claim/a", claimFor("r1", 1)); err == nil {
		t.Error("claim succeeded during an outage")
	}
}

// TestClaimsUnderFaults guards against two calls that both run the request of
// one key. The platform loses answers and writes of calls at two entry instances
// and has outages, all at random.
func TestClaimsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := standin.NewStore(time.Now)
		instances := []*control.Claims{control.NewClaims(store, time.Now, quietLog()), control.NewClaims(store, time.Now, quietLog())}
		starts, ended := 0, false
		for i := range rapid.IntRange(2, 4).Draw(t, "calls") {
			store.SetStoreFaults(standin.StoreFaults{
				Outage:      rapid.IntRange(0, 5).Draw(t, "outage") == 0,
				LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose answers"),
				LoseWrites:  rapid.IntRange(0, 1).Draw(t, "lose writes"),
			})
			claims := instances[rapid.IntRange(0, 1).Draw(t, "node")]
			ctx, cancel := timeoutContext(5 * time.Millisecond)
			held, run, err := claims.Claim(ctx, "claim/a", claimFor(string(rune('a'+i)), 1))
			cancel()
			if err != nil {
				continue
			}
			if run.State == contract.RunAnswered && !ended {
				t.Fatal("a call got an answer before the request ended")
			}
			if run.State != contract.RunStart {
				continue
			}
			if starts++; starts > 1 {
				t.Fatal("two calls ran the request")
			}
			if rapid.Bool().Draw(t, "killed") {
				continue
			}
			store.SetStoreFaults(standin.StoreFaults{LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lose end")})
			end, cancelEnd := timeoutContext(time.Second)
			claims.Finish(end, held, contract.Run{State: contract.RunAnswered, Body: []byte("done")})
			cancelEnd()
			ended = true
		}
	})
}
