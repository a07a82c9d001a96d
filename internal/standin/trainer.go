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

// TrainerConfig shapes one step of the stand-in trainer.
type TrainerConfig struct {
	// Entries are the callers' addresses; another is tried when one fails.
	Entries   []string
	Key       string
	Step      string
	Model     string
	Groups    int
	Samples   int
	MaxTokens int
	Scorer    string
	// Timeout bounds the step.
	Timeout time.Duration
}

// TrainerResult is what the trainer received.
type TrainerResult struct {
	Step    string `json:"step"`
	Wanted  int    `json:"wanted"`
	Samples int    `json:"samples"`
	// Repeated counts slots that came more than once; it must be 0.
	Repeated int `json:"repeated"`
	// Gaps counts samples whose number did not follow the one before.
	Gaps int `json:"gaps"`
	// Unattributed counts samples without a weight version for every token.
	Unattributed int `json:"unattributed"`
	// Wrong counts samples whose text is not the engine's answer.
	Wrong int `json:"wrong"`
	// Mixed counts samples of more than one weight version.
	Mixed int `json:"mixed"`
	// Newest is the newest weight version of any sample.
	Newest int64 `json:"newest"`
	// Withdrawn counts tombstones of samples that went stale before they came.
	Withdrawn int `json:"withdrawn"`
	// Unscored counts samples without a score in a step that has a scorer.
	Unscored int `json:"unscored"`
	// IdleMillis is how long the trainer waited with nothing to train on.
	IdleMillis float64 `json:"idleMillis"`
	Millis     float64 `json:"millis"`
}

// Trainer pulls one step.
type Trainer struct {
	config TrainerConfig
	http   *http.Client
	next   int
	seen   map[string]bool
	result TrainerResult
	after  int64
	// pull is the number of the latest pull.
	pull int64
}

// NewTrainer returns a trainer for one step.
func NewTrainer(config TrainerConfig) *Trainer {
	return &Trainer{config: config, http: &http.Client{Timeout: 20 * time.Second}, seen: make(map[string]bool)}
}

// Prompt returns the prompt of a group.
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

// Run opens the step, pulls every sample and confirms them.
func (t *Trainer) Run(ctx context.Context) (TrainerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.Timeout)
	defer cancel()
	started := time.Now()
	t.result = TrainerResult{Step: t.config.Step, Wanted: t.config.Groups * t.config.Samples}
	route := "/v1/steps/" + t.config.Step
	if _, err := t.call(ctx, http.MethodPut, fixed(route), t.definition()); err != nil {
		return t.result, err
	}
	for t.result.Samples < t.result.Wanted {
		asked := time.Now()
		body, err := t.call(ctx, http.MethodGet, t.pullRoute, nil)
		t.result.IdleMillis += millisSince(asked)
		if err != nil {
			return t.result, err
		}
		if err := t.take(body); err != nil {
			return t.result, err
		}
		if _, err := t.call(ctx, http.MethodPost, fixed(route+"/ack"), map[string]int64{"through": t.after}); err != nil {
			return t.result, err
		}
	}
	t.result.Millis = millisSince(started)
	return t.result, nil
}

func millisSince(t time.Time) float64 { return float64(time.Since(t).Microseconds()) / 1000 }

// pullRoute returns the route of the next pull. Each try is a pull of its own,
// with a higher number.
func (t *Trainer) pullRoute() string {
	t.pull++
	return fmt.Sprintf("/v1/steps/%s/samples?after=%d&wait=5&pull=%d", t.config.Step, t.after, t.pull)
}

func fixed(route string) func() string { return func() string { return route } }

// call tries the entries in turn until one answers or ctx ends; routeOf returns
// the route of each try.
func (t *Trainer) call(ctx context.Context, method string, routeOf func() string, body any) ([]byte, error) {
	const pause = 100 * time.Millisecond
	for {
		route := routeOf()
		answer, status := t.once(ctx, method, route, body)
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
		case <-time.After(pause):
		}
	}
}

func (t *Trainer) once(ctx context.Context, method, route string, body any) ([]byte, int) {
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

func (t *Trainer) take(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	for decoder.More() {
		var got sample.Sample
		if err := decoder.Decode(&got); err != nil {
			return errors.WithStack(&fault.BadRequest{Field: "samples", Problem: "not JSON"})
		}
		t.check(got)
	}
	return nil
}

func (t *Trainer) check(got sample.Sample) {
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
	if !attributed(got) {
		t.result.Unattributed++
	}
	if len(got.Text) != got.Tokens*len(Token("", 0, 0)) {
		t.result.Wrong++
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

// attributed reports whether the spans cover every token with a version.
func attributed(got sample.Sample) bool {
	next := 0
	for _, span := range got.Spans {
		if span.Start != next || span.Version < 1 {
			return false
		}
		next = span.End
	}
	return next == got.Tokens
}
