// Package generate runs generations on model engines: it acquires an engine from
// the dispatcher, reads the token stream, checks that the answer is complete, and
// resumes or retries on another engine within the retry budget.
package generate

import (
	"context"
	"time"

	"dogwoodpond/internal/contract"
)

// Priority orders the requests of one client account.
type Priority int

// The priorities. Interactive requests precede rollouts of the same account.
const (
	Interactive Priority = iota
	Rollout
)

// Request is one generation.
type Request struct {
	// ID is unique; a retry by the caller has a new ID.
	ID      string           `json:"id"`
	Account contract.Account `json:"account"`
	Model   string           `json:"model"`
	Adapter string           `json:"adapter,omitempty"`
	Prompt  string           `json:"prompt"`
	// MaxTokens limits the length of the answer.
	MaxTokens int `json:"maxTokens"`
	// Seed makes the engine's sampling reproducible.
	Seed     int64    `json:"seed"`
	Priority Priority `json:"priority"`
	// Group is the same for requests that share a prefix. They prefer the same
	// engine.
	Group string `json:"group,omitempty"`
	// MinVersion excludes engines that serve older weights; 0 excludes none.
	MinVersion int64 `json:"minVersion,omitempty"`
	// Step and Slot are set for rollouts.
	Step string `json:"step,omitempty"`
	Slot string `json:"slot,omitempty"`
	// Timeout is the time left until the caller's deadline; 0 means
	// that there is none.
	Timeout time.Duration `json:"timeout"`
}

// Chunk is a sequence of tokens of a stream, as an engine reported it.
type Chunk struct {
	// Offset is the index of the chunk's first token in the answer.
	Offset int `json:"offset"`
	// Tokens are the texts of the tokens.
	Tokens []string `json:"tokens"`
	// Version is the weight version that produced the tokens.
	Version int64 `json:"version"`
	// Upstream and Incarnation identify the engine process that produced the
	// tokens.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// Span attributes the tokens from Start up to, but not including, End to one
// weight version of one engine process.
type Span struct {
	Start       int    `json:"start"`
	End         int    `json:"end"`
	Version     int64  `json:"version"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// Result is a complete answer.
type Result struct {
	ID       string   `json:"id"`
	Tokens   []string `json:"tokens"`
	Spans    []Span   `json:"spans"`
	Attempts int      `json:"attempts"`
	// FinishReason is the reason that the engine reports: "stop" or "length".
	FinishReason string `json:"finishReason"`
}

// Sink receives the chunks of a stream in order, without gaps or repeats. An
// error from it ends the generation with that error.
type Sink func(Chunk) error

// Runner runs generations.
//
// Generate returns the complete result or a typed failure. It returns soon after
// ctx ends. sink may be nil. Implementations are safe for concurrent use.
type Runner interface {
	Generate(ctx context.Context, request Request, sink Sink) (Result, error)
}
