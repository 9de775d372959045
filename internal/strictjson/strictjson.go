// Package strictjson decodes JSON that operators write. Unknown fields and data
// after the value are errors.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// ErrTrailingData means that the input contains data after the JSON value.
var ErrTrailingData = errors.New("data after the JSON value")

// Decode decodes data, which must contain exactly one JSON value, into value. As
// with json.Unmarshal, value must be a non-nil pointer.
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
