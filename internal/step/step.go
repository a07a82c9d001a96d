// Package step stores and runs trainers' steps: batches of generations that are
// submitted together and run asynchronously. Each step has its own partition in the
// store: a state row that names the owner, rows with the items, and rows with the
// results, each row named by the position of its last result.
//
// Every commit of results expects the version of the state row. A change of owner and
// the end of the step replace that row. So two owners never both commit results of
// one step, and a commit that is in flight when the owner changes has no effect.
package step

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/promptcache"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/scoring"
	"dogwoodpond/internal/suspicion"
)

// The tables of steps. The partition is the step's ID.
const (
	stateTable  = "step"
	itemsTable  = "step_items"
	resultTable = "step_results"
	stateName   = "state"
)

// Spec is a trainer's request for a step.
type Spec struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Host and Path are those of the submission. The route that they match
	// determines where the items run.
	Host  string `json:"host"`
	Path  string `json:"path"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest weight version that may be used.
	MinVersion int64 `json:"minVersion,omitempty"`
	// DesiredGroups is the number of complete groups that the trainer waits for.
	DesiredGroups int `json:"desired,omitempty"`
	// SubmittedAt is when the step was submitted, in milliseconds of the store's clock.
	SubmittedAt int64 `json:"submittedAt"`
	// RunObjective is the time after submission within which the step should be
	// complete.
	RunObjective time.Duration `json:"runObjective"`
	// AbandonAfter is the time after submission from which the items may be abandoned.
	AbandonAfter time.Duration `json:"giveUp"`
	Attempts     int           `json:"attempts"`
	// ConfigurationVersion is the version of the configuration under which the step was accepted; 0 when unknown.
	ConfigurationVersion int64 `json:"configuration,omitempty"`
	// SingleVersion requires each sample to come from a single weight version.
	SingleVersion bool `json:"singleVersion,omitempty"`
}

// Item is one generation of a step.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Group names the items that share a prompt.
	Group string `json:"group,omitempty"`
	// ExpectedTokens is the estimated number of output tokens; 0 when unknown.
	ExpectedTokens float64 `json:"expected,omitempty"`
	// MaxEvents is the largest number of events that its text can have; 0 when unknown.
	MaxEvents int `json:"maxEvents,omitempty"`
	// Prompt lists the parts of the prompt; empty when unknown.
	Prompt promptcache.Prompt `json:"prompt,omitempty"`
	// Score is the call that scores the complete text; nil when the sample needs no score.
	Score *scoring.Call `json:"score,omitempty"`
}

// State is the state row of a step.
type State struct {
	Spec
	Total int `json:"total"`
	// Owner is the VM that runs the step; empty after the VM has handed the step over.
	Owner string `json:"owner,omitempty"`
	// OwnerIncarnation is the incarnation of the owner's process; empty when Owner is.
	OwnerIncarnation string `json:"ownerLife,omitempty"`
	// OwnerSince is when that process became the owner, in milliseconds of the store's clock; 0 when unknown.
	OwnerSince int64 `json:"ownerSince,omitempty"`
	// ShortOwners is the number of owners in a row that ended soon after they got the step.
	ShortOwners int `json:"shortOwners,omitempty"`
	// Epoch is the number of the current owner, counted from 1.
	Epoch int `json:"epoch"`
	// GeneratedShare is the share of the texts, between 0 and 1, that the owner had generated when it
	// claimed the step for its early run; 0 for any other owner.
	GeneratedShare float64 `json:"made,omitempty"`
	// Ended is true once the step has ended; its items no longer run.
	Ended bool `json:"ended,omitempty"`
	// Objects are the names of the objects that hold the items when these are too
	// large for one transaction.
	Objects []string `json:"objects,omitempty"`
	// ItemBytes is the memory of the items in bytes; 0 when unknown.
	ItemBytes int64 `json:"itemBytes,omitempty"`
	// ExpectedTokens is the expected number of output tokens of all items.
	ExpectedTokens float64 `json:"work,omitempty"`
	// VersionLag is the version lag at the submission: the number of versions from MinVersion
	// to the one that the trainer had announced last.
	VersionLag int64 `json:"behind,omitempty"`
	// Nonce is unique for each version of the row, so that a writer recognizes its own
	// write after a commit with an unknown outcome.
	Nonce string `json:"nonce"`
}

// Outcome is how an item ended.
type Outcome string

// The outcomes of an item.
const (
	Completed Outcome = "completed"
	Abandoned Outcome = "abandoned"
)

// Result is the committed result of one item.
type Result struct {
	Item     string  `json:"item"`
	Outcome  Outcome `json:"outcome"`
	Text     string  `json:"text,omitempty"`
	Versions []int64 `json:"versions,omitempty"`
	// Score is the response to the item's score call.
	Score string `json:"score,omitempty"`
	// Object is the name of the object that holds the text when it is too large for a row.
	Object string `json:"object,omitempty"`
}

func stateKey(id string) rowstore.Key {
	return rowstore.Key{Table: stateTable, Part: id, Name: stateName}
}

func itemsKey(id string, chunk int) rowstore.Key {
	return rowstore.Key{Table: itemsTable, Part: id, Name: fmt.Sprintf("%04d", chunk)}
}

// resultName returns the name of a row of results: the position of its last result.
// A read from position n then starts with the row that contains position n.
func resultName(last int) string { return fmt.Sprintf("%08d", last) }

func resultKey(id string, last int) rowstore.Key {
	return rowstore.Key{Table: resultTable, Part: id, Name: resultName(last)}
}

// stateRecord is a step's state with the version of its state row.
type stateRecord struct {
	State
	version int64
	// ownerKnownSince is when this VM learned that the current owner owns the step.
	ownerKnownSince time.Time
	// changeSeenAt is when this VM learned of this version of the row; zero if the row may have been
	// written before this process ran. The owner that the row names was alive then.
	changeSeenAt time.Time
	// lostOwner is the owner from which this VM took the step over.
	lostOwner suspicion.LostOwner
}

func decodeState(row rowstore.Row) (stateRecord, error) {
	var r stateRecord
	if err := json.Unmarshal(row.Value, &r.State); err != nil || r.ID == "" {
		return r, errors.WithStack(&fault.Internal{Where: "row " + row.String()})
	}
	r.version = row.Version
	return r, nil
}

// encodeRow encodes the value of a row.
func encodeRow(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "row of a step"})
	}
	return text, nil
}
