// Package generate runs generations on model engines: it picks an engine
// through the dispatcher, follows the stream, checks that it is whole, and
// resumes or retries elsewhere within the retry budget.
package generate

import (
	"context"
	"time"

	"dogwoodpond/internal/contract"
)

// Priority orders the work of one client account.
type Priority int

// The priorities; interactive work goes before rollouts of the same account.
const (
	Interactive Priority = iota
	Rollout
)

// Request is one generation.
type Request struct {
	// ID is unique; a retry of the caller has a new one.
	ID      string           `json:"id"`
	Account contract.Account `json:"account"`
	Model   string           `json:"model"`
	Adapter string           `json:"adapter,omitempty"`
	Prompt  string           `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"maxTokens"`
	// Seed makes the engine's sampling repeatable.
	Seed     int64    `json:"seed"`
	Priority Priority `json:"priority"`
	// Group brings requests with a shared prefix to the same engine.
	Group string `json:"group,omitempty"`
	// MinVersion refuses engines that serve older weights; 0 means any.
	MinVersion int64 `json:"minVersion,omitempty"`
	// Step and Slot are set for rollouts.
	Step string `json:"step,omitempty"`
	Slot string `json:"slot,omitempty"`
	// Timeout is what remains of the caller's deadline.
	Timeout time.Duration `json:"timeout"`
}

// Chunk is one token run of a stream, as an engine reported it.
type Chunk struct {
	// Offset is the index of the run's first token in the answer.
	Offset int `json:"offset"`
	// Tokens are the texts of the run's tokens.
	Tokens []string `json:"tokens"`
	// Version is the weight version that produced the run.
	Version int64 `json:"version"`
	// Upstream and Incarnation tell which engine process produced the run.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// Span says that the tokens from Start up to, not including, End came from one
// weight version of one engine process.
type Span struct {
	Start       int    `json:"start"`
	End         int    `json:"end"`
	Version     int64  `json:"version"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// Result is a whole answer.
type Result struct {
	ID       string   `json:"id"`
	Tokens   []string `json:"tokens"`
	Spans    []Span   `json:"spans"`
	Attempts int      `json:"attempts"`
	// FinishReason is the engine's: "stop" or "length".
	FinishReason string `json:"finishReason"`
}

// Sink receives the chunks of a stream in order, without gaps or repeats. An
// error from it ends the generation with that error.
type Sink func(Chunk) error

// Runner runs generations.
//
// Generate returns the whole result or a typed failure. It stops soon after
// ctx ends. sink may be nil. Implementations are safe for concurrent use.
type Runner interface {
	Generate(ctx context.Context, request Request, sink Sink) (Result, error)
}
