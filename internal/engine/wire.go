// Package engine is the client of model engines: completion streams that can be
// resumed and cancelled, load reports, and orders. The stand-in engine uses the same
// wire types.
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
	// HeaderTimeout is the time left until the request's deadline in milliseconds,
	// so that an engine can stop a request that no caller waits for any more.
	HeaderTimeout = "X-Request-Timeout-Ms"
)

// StatusNotServed is the answer to a completions request whose model or adapter the
// engine does not serve. The protocol guarantees that such a request did not run; no
// other status guarantees that.
const StatusNotServed = http.StatusNotFound

// CompletionRequest asks for a completions stream. Each attempt builds its own
// request, which never contains a caller's key.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	// Resume holds the tokens of earlier attempts; the engine continues after them.
	Resume []string `json:"resume,omitempty"`
}

// CompletionChunk is one event of the stream.
type CompletionChunk struct {
	// ID repeats the request's ID.
	ID      string             `json:"id"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// WeightVersion is the version of the weights that produced the tokens.
	WeightVersion int64 `json:"weight_version"`
	// Incarnation identifies the engine process; it changes at each restart.
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

// DoneEvent is the data of the terminal event, which ends each complete stream.
const DoneEvent = "[DONE]"

// Load is an engine's load report. It can be out of date when it is sent.
type Load struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Incarnation string `json:"incarnation"`
	// Model, Adapter, Role and WeightVersion are what the engine serves now.
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
	WeightVersion int64  `json:"weight_version"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders to an engine.
const (
	OrderLoadWeights OrderKind = "load_weights"
	OrderSetPool     OrderKind = "set_pool"
)

// Order changes what an engine serves. The engine executes an order once, also if it
// is sent again with the same ID.
type Order struct {
	ID string `json:"id"`
	// Epoch is the fencing token. Engines that check it answer 412 to an order with an
	// older epoch than they have seen.
	Epoch   uint64    `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Version int64     `json:"version,omitempty"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}
