// Package strictjson decodes JSON from operators: unknown fields and trailing
// data are errors.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// ErrTrailingData means that the input goes on after the value.
var ErrTrailingData = errors.New("data after the JSON value")

// Decode decodes exactly one JSON value into value.
func Decode(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Wrap(err, "malformed JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return ErrTrailingData
	}
	return nil
}
