package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
)

// TrainerConfig configures one step of the stand-in trainer.
type TrainerConfig struct {
	// Entries are the addresses that serve callers. When one fails, the trainer
	// retries at the next.
	Entries   []string
	Key       string
	Step      string
	Model     string
	Groups    int
	Samples   int
	MaxTokens int
	Scorer    string
	// Timeout is the timeout of the step.
	Timeout time.Duration
}

// TrainerResult describes the samples that the trainer received.
type TrainerResult struct {
	Step    string `json:"step"`
	Wanted  int    `json:"wanted"`
	Samples int    `json:"samples"`
	// Repeated counts samples of slots that had been received before; it must be 0.
	Repeated int `json:"repeated"`
	// Gaps counts samples whose number is not the previous number plus one.
	Gaps int `json:"gaps"`
	// Unattributed counts samples without a weight version for every token.
	Unattributed int `json:"unattributed"`
	// WrongLength counts samples whose text length doesn't match the number of tokens.
	WrongLength int `json:"wrong"`
	// Mixed counts samples with tokens of more than one weight version.
	Mixed int `json:"mixed"`
	// Newest is the newest weight version of any sample.
	Newest int64 `json:"newest"`
	// Withdrawn counts tombstones of samples that became stale before the trainer
	// received them.
	Withdrawn int `json:"withdrawn"`
	// Unscored counts samples without a score in a step that has a scorer.
	Unscored int `json:"unscored"`
	// IdleMillis is the time that the trainer waited for samples.
	IdleMillis float64 `json:"idleMillis"`
	// Millis is the duration of the step.
	Millis float64 `json:"millis"`
}

// Trainer submits one step and pulls its samples.
type Trainer struct {
	config TrainerConfig
	http   *http.Client
	next   int // index of the entry in use
	seen   map[string]bool
	result TrainerResult
	after  int64 // number of the last sample received
	// pull is the number of the latest pull.
	pull int64
}

// NewTrainer returns a trainer for one step.
func NewTrainer(config TrainerConfig) *Trainer {
	return &Trainer{config: config, http: &http.Client{Timeout: 20 * time.Second}, seen: make(map[string]bool)}
}

// Prompt returns the prompt of a group in a step.
func Prompt(step string, group int) string {
	return fmt.Sprintf("Please answer booking question %d of round %s about the berry field", group, step)
}

func (t *Trainer) definition() sample.Definition {
	d := sample.Definition{Model: t.config.Model, MaxTokens: t.config.MaxTokens, Scorer: t.config.Scorer}
	for g := range t.config.Groups {
		d.Groups = append(d.Groups, sample.Group{
			ID:      fmt.Sprintf("g%d", g),
			Prompt:  Prompt(t.config.Step, g),
			Samples: t.config.Samples,
		})
	}
	return d
}

// Run submits the step, then pulls and acknowledges all samples.
func (t *Trainer) Run(ctx context.Context) (TrainerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.Timeout)
	defer cancel()
	started := time.Now()
	t.result = TrainerResult{Step: t.config.Step, Wanted: t.config.Groups * t.config.Samples}
	route := "/v1/steps/" + t.config.Step
	if _, err := t.call(ctx, http.MethodPut, fixedRoute(route), t.definition()); err != nil {
		return t.result, err
	}
	for t.result.Samples < t.result.Wanted {
		asked := time.Now()
		body, err := t.call(ctx, http.MethodGet, t.pullRoute, nil)
		t.result.IdleMillis += millisSince(asked)
		if err != nil {
			return t.result, err
		}
		if err := t.readSamples(body); err != nil {
			return t.result, err
		}
		if _, err := t.call(ctx, http.MethodPost, fixedRoute(route+"/ack"), map[string]int64{"through": t.after}); err != nil {
			return t.result, err
		}
	}
	t.result.Millis = millisSince(started)
	return t.result, nil
}

func millisSince(t time.Time) float64 { return float64(time.Since(t).Microseconds()) / 1000 }

// pullRoute returns the route of the next pull. Each attempt is a new pull with a
// higher number.
func (t *Trainer) pullRoute() string {
	t.pull++
	return fmt.Sprintf("/v1/steps/%s/samples?after=%d&wait=5&pull=%d", t.config.Step, t.after, t.pull)
}

func fixedRoute(route string) func() string { return func() string { return route } }

// call sends a request to the entries in rotation, with a backoff between attempts.
// It ends when an entry answers 200 or refuses the request with a 4xx status other
// than 429, or when ctx ends. routeOf returns the route of each attempt.
func (t *Trainer) call(ctx context.Context, method string, routeOf func() string, body any) ([]byte, error) {
	const backoff = 100 * time.Millisecond
	for {
		route := routeOf()
		answer, status := t.attempt(ctx, method, route, body)
		if status == http.StatusOK {
			return answer, nil
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return nil, errors.WithStack(&fault.PlatformRefused{Operation: route, Status: status})
		}
		t.next++
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(&fault.DeadlineExceeded{})
		case <-time.After(backoff):
		}
	}
}

// attempt sends a request to the entry in use. The status is 0 if no complete
// answer arrived.
func (t *Trainer) attempt(ctx context.Context, method, route string, body any) ([]byte, int) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if body == nil {
		text = nil
	}
	entry := t.config.Entries[t.next%len(t.config.Entries)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+route, bytes.NewReader(text))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	request.Header.Set("Authorization", "Bearer "+t.config.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := t.http.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return answer, response.StatusCode
}

func (t *Trainer) readSamples(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	for decoder.More() {
		var got sample.Sample
		if err := decoder.Decode(&got); err != nil {
			return errors.WithStack(&fault.BadRequest{Field: "samples", Problem: "not JSON"})
		}
		t.checkSample(got)
	}
	return nil
}

func (t *Trainer) checkSample(got sample.Sample) {
	if got.Number != t.after+1 {
		t.result.Gaps++
	}
	t.after = got.Number
	if got.Withdrawn {
		t.result.Withdrawn++
		return
	}
	t.result.Samples++
	if t.config.Scorer != "" && got.Score == nil {
		t.result.Unscored++
	}
	if t.seen[got.Slot.Name()] {
		t.result.Repeated++
	}
	t.seen[got.Slot.Name()] = true
	t.noteVersions(got)
	if !isAttributed(got) {
		t.result.Unattributed++
	}
	if len(got.Text) != got.Tokens*len(Token("", 0, 0)) {
		t.result.WrongLength++
	}
}

func (t *Trainer) noteVersions(got sample.Sample) {
	oldest := sample.OldestVersion(got.Spans)
	newest := oldest
	for _, span := range got.Spans {
		newest = max(newest, span.Version)
	}
	if newest > oldest {
		t.result.Mixed++
	}
	t.result.Newest = max(t.result.Newest, newest)
}

// isAttributed reports whether the spans assign a weight version to every token.
func isAttributed(got sample.Sample) bool {
	next := 0
	for _, span := range got.Spans {
		if span.Start != next || span.Version < 1 {
			return false
		}
		next = span.End
	}
	return next == got.Tokens
}
