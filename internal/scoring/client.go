package scoring

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/forward"
	"dogwoodpond/internal/route"
)

const (
	// timeoutObjectives is the timeout of a score call, as a multiple of its route's
	// latency objective. The timeout leaves time for a hedge, but is short enough that an
	// upstream that never answers does not delay a step.
	timeoutObjectives = 2.5
	// defaultTimeout is the timeout for routes with neither an objective nor a timeout.
	defaultTimeout = 2 * time.Second
)

// Call is the request of a score call: it asks a service for the score of one sample.
type Call struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Client makes score calls through a forwarder, like callers' idempotent requests: a
// failed attempt is retried at another upstream, unless its answer was lost, and a slow one is hedged. The forwarder
// must have its own meter and retry budget, since score calls are not charged to client
// accounts and must not use up the retry budget of callers' requests.
type Client struct{ Forwarder *forward.Forwarder }

// Score makes a call by the given route and returns the score, which is the digest of
// the service's complete, successful answer. residency limits the failure domains to which
// the call may go. earlierLosses is the number of upstreams that may have ended under earlier
// tries of the call. forward.FailedAnswerCount returns, for an error of Score, how many
// upstreams answered that the call failed.
func (c *Client) Score(ctx context.Context, call Call, callRoute *route.Route, residency route.Residency, earlierLosses int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(callRoute))
	defer cancel()
	answer, err := c.Forwarder.Do(ctx, forward.Call{
		ID: call.ID, Route: idempotentRoute(callRoute), Arrived: time.Now(),
		Method: http.MethodPost, URI: call.Path, Host: call.Host, Header: make(http.Header), Body: call.Body,
		Residency: residency, EarlierLosses: earlierLosses, StopAfterLoss: true,
	})
	if err != nil {
		return "", err
	}
	if err := readRest(answer); err != nil {
		return "", err
	}
	if answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices {
		return "", noScoreError("status " + strconv.Itoa(answer.Status))
	}
	if answer.Digest == "" {
		return "", noScoreError("no digest")
	}
	return answer.Digest, nil
}

// readRest reads an answer up to its end, since a truncated answer gives no score.
func readRest(answer *forward.Answer) error {
	if answer.Rest == nil {
		return nil
	}
	defer func() { _ = answer.Rest.Close() }()
	if _, err := io.Copy(io.Discard, answer.Rest); err != nil {
		return errors.WithStack(&fault.AnswerTruncated{})
	}
	return nil
}

func noScoreError(reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Reason: "no score: " + reason})
}

// idempotentRoute returns a copy of the route for score calls, which may be executed more
// than once whatever kind the route sets for callers' requests.
func idempotentRoute(callRoute *route.Route) *route.Route {
	r := *callRoute
	r.Kind = route.Idempotent
	return &r
}

// timeoutOf returns the timeout of a score call by the given route.
func timeoutOf(callRoute *route.Route) time.Duration {
	limit := time.Duration(float64(callRoute.Objective) * timeoutObjectives)
	if limit <= 0 || callRoute.Timeout > 0 && callRoute.Timeout < limit {
		limit = callRoute.Timeout
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}
