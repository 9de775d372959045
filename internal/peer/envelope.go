// Package peer carries messages between entry instances: QUIC with mutual TLS,
// one stream for each exchange, CBOR envelopes with a length prefix. It decides
// nothing; handlers hand the message bodies to the control thread.
package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Version is the version of the envelope. A message of another version is
// refused.
const Version = 1

// MaxMessageSize is the largest encoded envelope, in bytes.
const MaxMessageSize = 1 << 20

// lengthSize is the size of the length prefix, in bytes.
const lengthSize = 4

// maxIdentityLength bounds each text field of a sender, in bytes.
const maxIdentityLength = 255

// Kind names a type of message.
type Kind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	KindProbe        Kind = 1
	KindRelay        Kind = 2
	KindFetchChanges Kind = 3
	KindLoanRequest  Kind = 4
	KindLoanReturn   Kind = 5
	KindTicketRun    Kind = 6
	KindTaskForward  Kind = 7
	KindLeaving      Kind = 8
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	names := map[Kind]string{
		KindProbe: "probe", KindRelay: "relay", KindFetchChanges: "fetch-changes", KindLoanRequest: "loan-request",
		KindLoanReturn: "loan-return", KindTicketRun: "ticket-run", KindTaskForward: "task-forward", KindLeaving: "leaving",
	}
	if name, ok := names[k]; ok {
		return name
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Errors of the codec.
var (
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = errors.New("peer message too large")
	// ErrMalformed means that the bytes are not an envelope.
	ErrMalformed = errors.New("malformed peer message")
	// ErrVersion means that the sender uses another envelope version.
	ErrVersion = errors.New("peer message version not supported")
)

// Envelope is one message on the wire. It is encoded as a CBOR array, which
// keeps a probe within one small packet.
type Envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Kind        Kind
	ID          string
	Incarnation uint64
	DataCentre  string
	// Address is empty in replies.
	Address string
	// Error is set in a reply when the handler refused the message.
	Error string
	Body  []byte
}

// Sender returns the member that sent the envelope.
func (e *Envelope) Sender() link.Member {
	return link.Member{ID: e.ID, Incarnation: e.Incarnation, DataCentre: e.DataCentre, Address: e.Address}
}

func newEnvelope(kind Kind, from link.Member, body []byte) Envelope {
	return Envelope{
		Version: Version, Kind: kind, ID: from.ID, Incarnation: from.Incarnation,
		DataCentre: from.DataCentre, Address: from.Address, Body: body,
	}
}

// decodeMode refuses duplicate map keys, indefinite lengths and deep nesting,
// so that a short message cannot cost much to decode.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
		UTF8:        cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic("peer: CBOR decode options: " + err.Error())
	}
	return mode
}()

// EncodeBody encodes the body of a message.
func EncodeBody(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	return data, nil
}

// DecodeBody decodes the body of a message; the error is ErrMalformed.
func DecodeBody(data []byte, value any) error {
	if err := decodeMode.Unmarshal(data, value); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// Encode returns the length prefix and the envelope.
func Encode(e Envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	if len(data) > MaxMessageSize {
		return nil, ErrTooLarge
	}
	frame := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return append(frame, data...), nil
}

// Decode decodes one envelope without its length prefix.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxMessageSize {
		return Envelope{}, ErrTooLarge
	}
	var e Envelope
	if err := decodeMode.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if e.Version != Version {
		return Envelope{}, errors.Wrapf(ErrVersion, "version %d, this process uses %d", e.Version, Version)
	}
	if e.ID == "" || len(e.ID) > maxIdentityLength || len(e.DataCentre) > maxIdentityLength || len(e.Address) > maxIdentityLength {
		return Envelope{}, errors.Wrap(ErrMalformed, "sender")
	}
	return e, nil
}

// Read reads one length-prefixed envelope. The buffer grows with the bytes that
// arrive, not with the announced length.
func Read(r io.Reader) (Envelope, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Envelope{}, errors.Wrap(err, "read length")
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageSize {
		return Envelope{}, ErrTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Envelope{}, errors.Wrap(err, "read envelope")
	}
	if len(data) != int(size) {
		return Envelope{}, errors.Wrap(ErrMalformed, "truncated")
	}
	return Decode(data)
}
