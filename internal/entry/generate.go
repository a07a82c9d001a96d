package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/usage"
)

const (
	// defaultGenerateTimeout is the timeout of a generate call whose caller does
	// not request one.
	defaultGenerateTimeout = 10 * time.Minute
	// maxTimeoutSeconds is the largest timeoutSeconds of a generate call: a day.
	maxTimeoutSeconds = 86400
	// maxTokensLimit is the largest maxTokens of a generate call.
	maxTokensLimit = 131072
)

// GenerateBody is the body of a generate call.
type GenerateBody struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Seed      int64  `json:"seed,omitempty"`
	// Group identifies calls with a shared prefix. They are preferably sent to
	// the same engine.
	Group string `json:"group,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// TimeoutSeconds is the timeout of the call; 0 means ten minutes. A VM caps
	// it at the drain time of a planned stop, so that a stop does not interrupt
	// the call.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// GenerateAnswer is the answer to a generate call. It is also the last event of
// a stream; Text is then empty.
type GenerateAnswer struct {
	RequestID    string          `json:"requestId"`
	Text         string          `json:"text,omitempty"`
	Tokens       int             `json:"tokens"`
	Spans        []generate.Span `json:"spans"`
	FinishReason string          `json:"finishReason"`
	Attempts     int             `json:"attempts"`
}

// parseGenerate decodes and validates the body of a generate call.
func parseGenerate(body []byte) (GenerateBody, error) {
	var call GenerateBody
	if err := decodeStrict(body, &call); err != nil {
		return GenerateBody{}, err
	}
	switch {
	case call.Model == "":
		return GenerateBody{}, badField("model", "is required")
	case call.Prompt == "":
		return GenerateBody{}, badField("prompt", "is required")
	case call.MaxTokens < 1 || call.MaxTokens > maxTokensLimit:
		return GenerateBody{}, badField("maxTokens", "must be from 1 to 131072")
	case call.TimeoutSeconds < 0 || call.TimeoutSeconds > maxTimeoutSeconds:
		return GenerateBody{}, badField("timeoutSeconds", "must be from 0 to 86400")
	}
	return call, nil
}

// timeout returns the timeout that the caller requests.
func (b GenerateBody) timeout() time.Duration {
	if b.TimeoutSeconds == 0 {
		return defaultGenerateTimeout
	}
	return time.Duration(b.TimeoutSeconds) * time.Second
}

// badField returns the failure of a request with an invalid field. The request
// has not run.
func badField(field, problem string) error {
	return fault.WithExecution(errors.WithStack(&fault.BadRequest{Field: field, Problem: problem}), fault.NotRun)
}

// decodeStrict decodes a body that must be exactly one JSON value without
// unknown fields.
func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil || dec.More() {
		return badField("body", "must be one JSON object with known fields")
	}
	return nil
}

// generate serves a generate call.
func (s *Server) generate(ctx context.Context, c clientCall, _ *restful.Request, w *restful.Response) error {
	call, err := parseGenerate(c.body)
	if err != nil {
		return err
	}
	request := generate.Request{
		ID:        c.requestID,
		Account:   c.contract.Account,
		Model:     call.Model,
		Adapter:   call.Adapter,
		Prompt:    call.Prompt,
		MaxTokens: call.MaxTokens,
		Seed:      call.Seed,
		Group:     call.Group,
		Timeout:   s.capTimeout(call.timeout()),
	}
	if call.Stream {
		return s.generateStream(ctx, c, request, w)
	}
	result, err := s.Runner.Generate(ctx, request, nil)
	if err != nil {
		return causeOf(ctx, err)
	}
	s.noteAnswered(c, result)
	answer := answerOf(result)
	answer.Text = strings.Join(result.Tokens, "")
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// causeOf returns the typed failure that cancelled ctx, such as a withdrawn
// key, or err if there is none. What err says about the execution is preserved.
func causeOf(ctx context.Context, err error) error {
	var f fault.Failure
	if cause := context.Cause(ctx); errors.As(cause, &f) {
		return fault.WithExecution(cause, fault.ExecutionOf(err))
	}
	return err
}

func answerOf(result generate.Result) GenerateAnswer {
	return GenerateAnswer{
		RequestID:    result.ID,
		Tokens:       len(result.Tokens),
		Spans:        result.Spans,
		FinishReason: result.FinishReason,
		Attempts:     result.Attempts,
	}
}

// noteAnswered records the usage and the event of an answered generate call.
func (s *Server) noteAnswered(c clientCall, result generate.Result) {
	s.Usage.Add(c.contract.Account, usage.Counts{Requests: 1, Tokens: int64(len(result.Tokens))})
	s.Events.Emit(event.RequestAnswered, event.Subject{
		Request: c.requestID,
		Account: string(c.contract.Account),
		Count:   int64(len(result.Tokens)),
	})
}

// generateStream delivers chunks to the caller as they arrive. The header is
// written with the first chunk, so that an earlier failure is still reported as
// an ordinary refusal.
func (s *Server) generateStream(ctx context.Context, c clientCall, request generate.Request, w *restful.Response) error {
	out := newEventWriter(ctx, w.ResponseWriter)
	defer out.close()
	result, err := s.Runner.Generate(ctx, request, func(chunk generate.Chunk) error {
		return out.send(eventChunk, chunk)
	})
	if err != nil && !out.started {
		return causeOf(ctx, err)
	}
	if err != nil {
		refusal, _ := refusalOf(c.requestID, causeOf(ctx, err))
		s.noteRefusal(refusal)
		_ = out.send(eventError, refusal)
		return nil
	}
	s.noteAnswered(c, result)
	_ = out.send(eventAnswer, answerOf(result))
	return nil
}
