package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxKeyLength bounds a caller-chosen idempotency key, in bytes.
const MaxKeyLength = 255

// ClaimRetention is how long a claim is held after it was made. A repeat within
// that time never runs a second time. It far exceeds the longest deadline of a
// request, so that no run of the claimed request can begin after it.
const ClaimRetention = time.Hour

// MaxClaimAnswer bounds the answer that a claim keeps, in bytes. With 16 KiB,
// a hundred keyed requests a second fill the platform with about 6 GB an hour
// at worst. The end of a larger answer is recorded without its body.
const MaxClaimAnswer = 16 << 10

// ClaimName returns the platform key of a claim. Keys of different teams and
// services never meet.
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
	// Nonce is the request id of the claiming call. It tells an own claim whose
	// answer was lost from a claim of another call.
	Nonce string `json:"nonce"`
	// Body is the hexadecimal BodyHash.
	Body string `json:"body"`
	// Kind is RunRunning until the request ended.
	Kind   RunKind `json:"kind"`
	Status int     `json:"status,omitempty"`
	Answer []byte  `json:"answer,omitempty"`
	Reason string  `json:"reason,omitempty"`
}

// NewClaim returns the claim that a call tries to make.
func NewClaim(holder string, incarnation uint64, nonce string, body BodyHash) Claim {
	return Claim{
		Holder: holder, Incarnation: incarnation, Nonce: nonce, Body: hex.EncodeToString(body[:]), Kind: RunRunning,
	}
}

// Meet decides what a call that tried to make the claim own gets when the
// platform holds c.
func (c Claim) Meet(own Claim) Run {
	switch {
	case c.Body != own.Body:
		return Run{Kind: RunOtherBody, Reason: "the idempotency key was used for a request with another body"}
	case c.Nonce == own.Nonce && c.Kind == RunRunning:
		return Run{Kind: RunStart}
	case c.Kind == RunRunning:
		return Run{Kind: RunRunning, Reason: "the request was started by instance " + c.Holder + ", which has not reported its end"}
	}
	return Run{Kind: c.Kind, Status: c.Status, Body: c.Answer, Reason: c.Reason}
}

// End returns the claim with the end of its request. An answer above
// MaxClaimAnswer is not kept.
func (c Claim) End(run Run) Claim {
	c.Kind, c.Status, c.Answer, c.Reason = run.Kind, run.Status, run.Body, run.Reason
	if len(run.Body) > MaxClaimAnswer {
		c.Kind, c.Status, c.Answer = RunUnknown, 0, nil
		c.Reason = "the request ran, but its answer was too large to be kept"
	}
	return c
}
