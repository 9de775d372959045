// Package peer implements the transport between entry instances: QUIC with
// mutual TLS, one stream for each exchange, and length-prefixed CBOR envelopes.
// It makes no decisions; its handlers pass messages to the control thread.
package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Version is the version of the envelope format. Messages with another version
// are refused.
const Version = 1

// MaxMessageSize is the largest encoded envelope, in bytes.
const MaxMessageSize = 1 << 20

// lengthPrefixSize is the size of the length prefix, in bytes.
const lengthPrefixSize = 4

// maxSenderFieldSize is the largest size of the sender's id, data centre and
// address, in bytes each.
const maxSenderFieldSize = 255

// Kind is the type of a message.
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

// confirmsReply reports whether the requester confirms that it has read the reply
// to a message of this kind, by closing the stream only then. Of other kinds a
// lost reply costs a repetition only, which is cheaper than the two additional
// packets of a confirmation.
func (k Kind) confirmsReply() bool { return k == KindTicketRun }

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

// Errors of encoding and decoding.
var (
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = errors.New("peer message too large")
	// ErrMalformed means that an envelope or a body cannot be decoded.
	ErrMalformed = errors.New("malformed peer message")
	// ErrVersion means that the sender uses another envelope version.
	ErrVersion = errors.New("peer message version not supported")
)

// Envelope is one message on the wire. It is encoded as a CBOR array rather than
// a map, so that a probe fits into one small packet.
type Envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Kind        Kind
	ID          string
	Incarnation uint64
	DataCentre  string
	// Address is empty in replies.
	Address string
	// Error is the reason for a refusal in a reply, and empty otherwise.
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

// decodeMode refuses duplicate map keys, indefinite lengths, tags and deep
// nesting, so that a small message cannot be expensive to decode.
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

// EncodeBody encodes the body of a message as CBOR.
func EncodeBody(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	return data, nil
}

// DecodeBody decodes the CBOR body of a message into value. Its errors wrap
// ErrMalformed.
func DecodeBody(data []byte, value any) error {
	if err := decodeMode.Unmarshal(data, value); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// Encode returns the encoded envelope with its length prefix.
func Encode(e Envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	if len(data) > MaxMessageSize {
		return nil, ErrTooLarge
	}
	frame := make([]byte, lengthPrefixSize, lengthPrefixSize+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return append(frame, data...), nil
}

// Decode decodes an envelope that has no length prefix.
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
	if e.ID == "" || len(e.ID) > maxSenderFieldSize || len(e.DataCentre) > maxSenderFieldSize || len(e.Address) > maxSenderFieldSize {
		return Envelope{}, errors.Wrap(ErrMalformed, "sender")
	}
	return e, nil
}

// Read reads one length-prefixed envelope. Its buffer grows with the bytes that
// arrive, so that a peer cannot make it allocate memory by declaring a large
// length.
func Read(r io.Reader) (Envelope, error) {
	var prefix [lengthPrefixSize]byte
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
