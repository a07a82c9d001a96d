package rollout

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/service"
)

// Scorer scores samples. Scoring is idempotent: a sample may be scored any
// number of times. Implementations are safe for concurrent use.
type Scorer interface {
	// Score returns the service's score, or a typed error, after one attempt.
	Score(ctx context.Context, account contract.Account, name string, request ScoreRequest) (float64, error)
}

// PathScore is the path of a scoring service.
const PathScore = "/score"

// ScoreRequest is the body of a request to a scoring service.
type ScoreRequest struct {
	Step   string      `json:"step"`
	Slot   sample.Slot `json:"slot"`
	Prompt string      `json:"prompt"`
	Text   string      `json:"text"`
}

// ScoreReply is the body of a scoring service's response.
type ScoreReply struct {
	Score *float64 `json:"score"`
}

// ServiceScorer scores samples with plain services that this VM can reach.
type ServiceScorer struct {
	view       *contract.View
	dispatcher dispatch.Dispatcher
	services   *service.Client
}

// NewServiceScorer returns a scorer that uses the VM's dispatcher.
func NewServiceScorer(view *contract.View, dispatcher dispatch.Dispatcher, services *service.Client) *ServiceScorer {
	return &ServiceScorer{view: view, dispatcher: dispatcher, services: services}
}

// Score implements Scorer.
func (s *ServiceScorer) Score(ctx context.Context, account contract.Account, name string, request ScoreRequest) (float64, error) {
	c, known := s.view.Load().Contracts[account]
	if !known {
		return 0, errors.WithStack(&fault.AccountUnknown{Account: string(account)})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return 0, errors.WithStack(&fault.Internal{Where: "score request"})
	}
	id := uuid.NewString()
	grant, err := s.dispatcher.Acquire(ctx, dispatch.Work{
		Request:    id,
		Account:    account,
		Contract:   c,
		Pool:       dispatch.Pool{Kind: platformapi.KindService, Service: name},
		Cost:       1,
		Background: true,
		Repeatable: true,
	})
	if err != nil {
		return 0, err
	}
	call := service.Call{RequestID: id, Method: http.MethodPost, Path: PathScore, ContentType: "application/json", Body: body}
	answer, _, err := s.services.Do(ctx, grant.Upstream.Address, call)
	grant.Done(dispatch.Result{Cost: 1, Failed: err != nil && ctx.Err() == nil})
	if err != nil {
		return 0, err
	}
	return parseScore(grant.Upstream.ID, answer)
}

// parseScore accepts only a complete, successful response that contains a
// score. A missing score must not be read as a score of 0.
func parseScore(upstream string, answer service.Answer) (float64, error) {
	var reply ScoreReply
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &reply) != nil || reply.Score == nil {
		return 0, errors.WithStack(&fault.UpstreamFailed{Upstream: upstream, Reason: "no score"})
	}
	return *reply.Score, nil
}
