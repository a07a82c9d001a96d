// Package config stores and distributes the configuration: an Editor commits operators'
// edits to the store, and a Syncer keeps a VM's view of the configuration up to date.
package config

import (
	"fmt"

	"dogwoodpond/internal/contract"
)

// Keys and prefixes of the configuration's rows in the store. The row headKey holds the
// newest revision. Each accepted edit has a log entry, and a row under editPrefix and its ID
// by which a retry is recognized.
const (
	headKey    = "config/revision"
	logPrefix  = "config/log/"
	editPrefix = "config/edit/"
)

// logKey returns the key of a log entry. Keys sort by revision.
func logKey(r contract.Revision) string { return fmt.Sprintf("%s%012d", logPrefix, r) }

// head is the value of the row headKey.
type head struct {
	Revision contract.Revision `json:"revision"`
}
