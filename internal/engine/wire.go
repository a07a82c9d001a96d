// Package engine is the client of model engines: streams with resume and
// cancel, load reports and orders. The stand-in engine shares its wire types.
package engine

import "net/http"

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Headers of a completions request.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout gives what remains of the request's deadline in
	// milliseconds, so that an engine need not finish what nobody waits for.
	HeaderTimeout = "X-Request-Timeout-Ms"
)

// StatusNotServed refuses a completions request whose model or adapter the
// engine does not serve. The protocol defines that nothing of it ran; no other
// status says so.
const StatusNotServed = http.StatusNotFound

// CompletionRequest asks for a completions stream. It is built anew for each
// attempt and never holds a caller's key.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	// Resume holds the tokens that earlier attempts produced; the engine goes
	// on after them.
	Resume []string `json:"resume,omitempty"`
}

// CompletionChunk is one event of the stream.
type CompletionChunk struct {
	// ID repeats the request's ID.
	ID      string             `json:"id"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// WeightVersion produced the tokens of this chunk.
	WeightVersion int64 `json:"weight_version"`
	// Incarnation changes whenever the engine process restarts.
	Incarnation string `json:"incarnation"`
}

// CompletionChoice is the only choice of a chunk.
type CompletionChoice struct {
	// Offset is the index of the first token of this chunk in the answer.
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
	// FinishReason is "stop" or "length" in the last chunk.
	FinishReason string `json:"finish_reason,omitempty"`
}

// DoneEvent is the data of the event that ends every whole stream.
const DoneEvent = "[DONE]"

// Load is an engine's load report. It lags behind.
type Load struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Incarnation string `json:"incarnation"`
	// Model, Adapter, Role and WeightVersion tell what the engine serves now.
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
	WeightVersion int64  `json:"weight_version"`
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders to an engine.
const (
	OrderLoadWeights OrderKind = "load_weights"
	OrderSetPool     OrderKind = "set_pool"
)

// Order changes what an engine serves. A repeat with the same ID has no
// further effect.
type Order struct {
	ID string `json:"id"`
	// Epoch is the fencing number; engines that check it answer 412 to an old one.
	Epoch   uint64    `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Version int64     `json:"version,omitempty"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}
