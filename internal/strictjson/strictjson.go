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

// ErrTooManyValues means that the input contains more values than any valid one.
var ErrTooManyValues = errors.New("too many values, or values nested too deeply")

// maxDepth is the deepest nesting of objects and arrays that DecodeBounded accepts.
const maxDepth = 16

// DecodeBounded is Decode for input from clients. Before it decodes and allocates anything,
// it refuses more than maxValues values and commas between them: a decoded value can take
// many times its shortest encoding.
func DecodeBounded(data []byte, value any, maxValues int) error {
	values, depth, quoted := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == ',':
			values++
		case c == '[' || c == '{':
			values, depth = values+1, depth+1
		case c == ']' || c == '}':
			depth--
		}
		if values > maxValues || depth > maxDepth {
			return ErrTooManyValues
		}
	}
	return Decode(data, value)
}

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
