// Package config keeps the configuration: an Editor commits operators' edits to
// the table service, and a Syncer keeps a VM's view of them current.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// Rows of the configuration in the table service.
const (
	headKey   = "config/revision"
	logPrefix = "config/log/"
	editKeys  = "config/edit/"
)

// logKey orders the log entries by revision.
func logKey(r contract.Revision) string { return fmt.Sprintf("%s%012d", logPrefix, r) }

// head is the value of the row headKey.
type head struct {
	Revision contract.Revision `json:"revision"`
}

// decode reads a row's value; an absent row leaves into as it is.
func decode(row platform.Row, into any) error {
	if !row.Exists() {
		return nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return errors.WithStack(&fault.Internal{Where: "row " + row.Key})
	}
	return nil
}

// encode writes a value of this package; its types always marshal.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
