// Package step keeps and runs trainers' steps: many generations that are handed
// in at once and run later. A step lies in the store in a partition of its own:
// a state row that names its owner, rows with its items, and rows with its
// results, each under the position of its last one.
//
// Every commit of results expects the version of the state row, which each change
// of owner and the end of the step replace. So two owners never list results for
// one step, and a commit that was under way when the owner changed has no effect.
package step

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/scoring"
)

// The tables of steps; the partition is the step's ID.
const (
	stateTable  = "step"
	itemsTable  = "step_items"
	resultTable = "step_results"
	stateName   = "state"
)

// Spec is what a trainer asks for.
type Spec struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Host and Path are those of the submission; the route that they match
	// decides where the items run.
	Host  string `json:"host"`
	Path  string `json:"path"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest version of the weights that may be used.
	MinVersion int64 `json:"minVersion,omitempty"`
	// Desired is how many whole groups the trainer waits for.
	Desired int `json:"desired,omitempty"`
	// SubmittedAt is when it was accepted, in milliseconds of the store's clock.
	SubmittedAt int64 `json:"submittedAt"`
	// RunObjective is when the step should be whole, and GiveUp when its items
	// may be given up, after its submission.
	RunObjective time.Duration `json:"runObjective"`
	GiveUp       time.Duration `json:"giveUp"`
	Attempts     int           `json:"attempts"`
	// SingleVersion wants each sample from one version of the weights.
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
	// Expected is the estimate of the number of output tokens; 0 when unknown.
	Expected float64 `json:"expected,omitempty"`
	// Score is the call that scores the whole text; nil when the sample needs none.
	Score *scoring.Call `json:"score,omitempty"`
}

// State is the state row of a step.
type State struct {
	Spec
	Total int `json:"total"`
	// Owner and OwnerLife name the process that runs the step; empty when the
	// last one handed it over.
	Owner     string `json:"owner,omitempty"`
	OwnerLife string `json:"ownerLife,omitempty"`
	// Epoch counts the owners from 1.
	Epoch int `json:"epoch"`
	// Made is which part of the texts the owner had when it claimed the step for its early
	// run, between 0 and 1; 0 for any other owner.
	Made float64 `json:"made,omitempty"`
	// Ended steps run no more.
	Ended bool `json:"ended,omitempty"`
	// Objects names the objects that hold the items when they are too large for
	// one transaction.
	Objects []string `json:"objects,omitempty"`
	// Work is the expected work of all items, in tokens.
	Work float64 `json:"work,omitempty"`
	// Behind is how far MinVersion was behind the version named last, when the
	// step came.
	Behind int64 `json:"behind,omitempty"`
	// Nonce is unique for each version of the row, so that a writer recognises
	// its own.
	Nonce string `json:"nonce"`
}

// Outcome is how an item ended.
type Outcome string

// The outcomes of an item.
const (
	Completed Outcome = "completed"
	Abandoned Outcome = "abandoned"
)

// Result is one listed result.
type Result struct {
	Item     string  `json:"item"`
	Outcome  Outcome `json:"outcome"`
	Text     string  `json:"text,omitempty"`
	Versions []int64 `json:"versions,omitempty"`
	// Score is what the item's call for a score returned.
	Score string `json:"score,omitempty"`
	// Object names the object that holds the text when it is too large for a row.
	Object string `json:"object,omitempty"`
}

func stateKey(id string) kept.Key {
	return kept.Key{Table: stateTable, Part: id, Name: stateName}
}

func itemsKey(id string, chunk int) kept.Key {
	return kept.Key{Table: itemsTable, Part: id, Name: fmt.Sprintf("%04d", chunk)}
}

// resultName is the name of a row of results: the position of its last one. A
// read from position n then starts with the row that holds n.
func resultName(last int) string { return fmt.Sprintf("%08d", last) }

func resultKey(id string, last int) kept.Key {
	return kept.Key{Table: resultTable, Part: id, Name: resultName(last)}
}

// record is a state with the version of its row.
type record struct {
	State
	version int64
	// ownedSince is when this VM heard that the owner has the step.
	ownedSince time.Time
}

func decodeState(row kept.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r.State); err != nil || r.ID == "" {
		return r, errors.WithStack(&fault.Internal{Where: "row " + row.String()})
	}
	r.version = row.Version
	return r, nil
}

func encode(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "row of a step"})
	}
	return text, nil
}
