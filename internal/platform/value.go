package platform

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Decode reads the row's value as JSON; an absent row leaves into as it is. It
// fails with *fault.Internal when the value is not what this program writes.
func (r Row) Decode(into any) error {
	if !r.Exists() {
		return nil
	}
	if err := json.Unmarshal(r.Value, into); err != nil {
		return errors.WithStack(&fault.Internal{Where: "row " + r.Key})
	}
	return nil
}

// EncodeValue returns a row's value as JSON. The types that rows keep always
// marshal; one that does not is a defect of the program.
func EncodeValue(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
