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
	// objectivesGiven is how many times its route's latency objective a call may take
	// before it is tried anew: time for a second attempt beside the first, and not so
	// much that an upstream that never answers holds a step up.
	objectivesGiven = 2.5
	// timeWithoutObjective holds for a route that names neither objective nor timeout.
	timeWithoutObjective = 2 * time.Second
)

// Call is the request that scores one sample.
type Call struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Client makes calls on the way of callers' idempotent requests: to another upstream
// after a failure, and to a second one beside a slow first. Its forwarder must have a
// meter and a retry budget of its own, since callers are neither charged for the calls
// nor have to pay for their retries.
type Client struct{ Forwarder *forward.Forwarder }

// Score makes a call by a route and returns the digest of the service's whole,
// successful answer. forward.FailedAnswers tells of its failures how many upstreams
// said that the call failed. residency limits the failure domains to which it may go.
func (c *Client) Score(ctx context.Context, call Call, by *route.Route, residency route.Residency) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeFor(by))
	defer cancel()
	answer, err := c.Forwarder.Do(ctx, forward.Call{
		ID: call.ID, Route: repeatable(by), Arrived: time.Now(),
		Method: http.MethodPost, URI: call.Path, Host: call.Host, Header: make(http.Header), Body: call.Body,
		Residency: residency,
	})
	if err != nil {
		return "", err
	}
	if err := whole(answer); err != nil {
		return "", err
	}
	if answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices {
		return "", noScore("status " + strconv.Itoa(answer.Status))
	}
	if answer.Digest == "" {
		return "", noScore("no digest")
	}
	return answer.Digest, nil
}

// whole reads the rest of a long answer: one that breaks off gives no score.
func whole(answer *forward.Answer) error {
	if answer.Rest == nil {
		return nil
	}
	defer func() { _ = answer.Rest.Close() }()
	if _, err := io.Copy(io.Discard, answer.Rest); err != nil {
		return errors.WithStack(&fault.AnswerTruncated{})
	}
	return nil
}

func noScore(reason string) error {
	return errors.WithStack(&fault.UpstreamFailed{Reason: "no score: " + reason})
}

// repeatable returns the route for calls, which may run more than once whatever the
// route says of callers' requests.
func repeatable(by *route.Route) *route.Route {
	r := *by
	r.Kind = route.Idempotent
	return &r
}

// timeFor returns how long a call of a route may take.
func timeFor(by *route.Route) time.Duration {
	limit := time.Duration(float64(by.Objective) * objectivesGiven)
	if limit <= 0 || by.Timeout > 0 && by.Timeout < limit {
		limit = by.Timeout
	}
	if limit <= 0 {
		return timeWithoutObjective
	}
	return limit
}
