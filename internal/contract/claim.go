package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxKeyLength is the largest length of a caller-chosen idempotency key, in
// bytes.
const MaxKeyLength = 255

// ClaimRetention is how long a claim is kept after it was made. A repeated
// request does not run again within that time. It far exceeds the longest
// deadline of a request, so that no run of the claimed request can begin after
// the claim is removed.
const ClaimRetention = time.Hour

// MaxClaimAnswer is the largest answer that a claim stores, in bytes. At 16 KiB,
// 100 requests a second with a key take at most about 6 GB of the platform
// within the hour of ClaimRetention. For a larger answer, only the fact that the
// request has ended is recorded.
const MaxClaimAnswer = 16 << 10

// ClaimName returns the platform key of a claim. It hashes the parts one by
// one, so that different teams and services never share a claim.
func ClaimName(team, service, key string) string {
	h := sha256.New()
	for _, part := range []string{team, service, key} {
		sum := sha256.Sum256([]byte(part))
		_, _ = h.Write(sum[:])
	}
	return "claim/" + hex.EncodeToString(h.Sum(nil))
}

// Claim is the record of one caller-chosen idempotency key.
type Claim struct {
	// Holder and Incarnation name the entry instance that claimed the key.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Nonce is the request id of the claiming call. A call that lost the answer of
	// its own write recognizes the claim by it.
	Nonce string `json:"nonce"`
	// Body is the hexadecimal BodyHash.
	Body string `json:"body"`
	// State is RunRunning until the request ends.
	State  RunState `json:"kind"`
	Status int      `json:"status,omitempty"`
	Answer []byte   `json:"answer,omitempty"`
	Reason string   `json:"reason,omitempty"`
}

// NewClaim returns a claim in the state RunRunning, which a call then tries to
// create on the platform.
func NewClaim(holder string, incarnation uint64, nonce string, body BodyHash) Claim {
	return Claim{
		Holder: holder, Incarnation: incarnation, Nonce: nonce, Body: hex.EncodeToString(body[:]), State: RunRunning,
	}
}

// StateFor returns the state of the request for a call that tried to create the
// claim own and found c on the platform. It is RunStart only when c is the
// call's own claim and the request has not run yet.
func (c Claim) StateFor(own Claim) Run {
	switch {
	case c.Body != own.Body:
		return Run{State: RunOtherBody, Reason: "the idempotency key was used for a request with another body"}
	case c.Nonce == own.Nonce && c.State == RunRunning:
		return Run{State: RunStart}
	case c.State == RunRunning:
		return Run{State: RunRunning, Reason: "the request was started by instance " + c.Holder + ", which has not reported that it ended"}
	}
	return Run{State: c.State, Status: c.Status, Body: c.Answer, Reason: c.Reason}
}

// End returns the claim with the result of its request. An answer above
// MaxClaimAnswer is dropped and the result becomes RunUnknown.
func (c Claim) End(run Run) Claim {
	c.State, c.Status, c.Answer, c.Reason = run.State, run.Status, run.Body, run.Reason
	if len(run.Body) > MaxClaimAnswer {
		c.State, c.Status, c.Answer = RunUnknown, 0, nil
		c.Reason = "the request ran, but its answer was too large to be kept"
	}
	return c
}
