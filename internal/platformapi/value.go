package platformapi

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Decode decodes the row's value from JSON into target; an absent row leaves target
// unchanged. It fails with *fault.Internal if the value does not have the form that
// this program writes.
func (r Row) Decode(target any) error {
	if !r.Exists() {
		return nil
	}
	if err := json.Unmarshal(r.Value, target); err != nil {
		return errors.WithStack(&fault.Internal{Where: "row " + r.Key})
	}
	return nil
}

// EncodeValue encodes the value of a row as JSON. It panics if this fails, which is
// a bug in the program: the types stored in rows can always be encoded.
func EncodeValue(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
