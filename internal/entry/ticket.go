package entry

import (
	"context"
	"crypto/rand"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

const ticketSecretSize = 32

// ticketSecret returns a random key that lives as long as the process.
func ticketSecret() []byte {
	secret := make([]byte, ticketSecretSize)
	_, _ = rand.Read(secret)
	return secret
}

// noPeers forwards nothing. It stands until the peer transport is part of an
// entry instance.
type noPeers struct{}

// Forward implements traffic.Forwarder.
func (noPeers) Forward(context.Context, contract.Ticket, traffic.Request) (traffic.Outcome, error) {
	return traffic.Outcome{}, errors.New("no connection between entry instances")
}
