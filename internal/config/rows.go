// Package config keeps the configuration: an Editor commits operators' edits to
// the table service, and a Syncer keeps a VM's view of them current.
package config

import (
	"fmt"

	"dogwoodpond/internal/contract"
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
