package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
)

// LoadConfig configures one run of the load generator.
type LoadConfig struct {
	Plan LoadPlan
	// Entries are the addresses that serve callers. An entry that can't be
	// reached is skipped, as a load balancer does.
	Entries []string
	// Engines are the addresses of the stand-in engines to poll.
	Engines []string
	Model   string
	// Drain is the time to wait for answers after the sending of requests ends.
	Drain time.Duration
}

const (
	// maxRecordedMicros is the largest latency that the histograms record; larger
	// ones are recorded as this value.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
	// bucketDuration is the length of one bucket of the timeline of received
	// tokens.
	bucketDuration = 250 * time.Millisecond
	// maxOutstanding is the maximum number of open requests of an account.
	maxOutstanding = 4000
	requestTimeout = 60 * time.Second
	maxStreamEvent = 1 << 20
)

// accountLoad holds the results of one account so far.
type accountLoad struct {
	account LoadAccount
	result  AccountResult

	mu sync.Mutex
	// firstToken and complete hold the latencies of first tokens and of complete
	// answers in microseconds.
	firstToken *hdrhistogram.Histogram
	complete   *hdrhistogram.Histogram

	outstanding atomic.Int64 // open requests
}

// LoadGenerator is a load generator that runs a plan against real daemons.
type LoadGenerator struct {
	config   LoadConfig
	http     *http.Client
	started  time.Time
	accounts []*accountLoad
	// served holds the number of tokens received in each bucket.
	served []atomic.Int64
	// next counts the requests, to rotate the entry that is tried first.
	next atomic.Uint64
}

// NewLoadGenerator returns a load generator for one run.
func NewLoadGenerator(config LoadConfig) *LoadGenerator {
	g := &LoadGenerator{
		config: config,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}},
	}
	for _, a := range config.Plan.Accounts {
		g.accounts = append(g.accounts, &accountLoad{
			account:    a,
			result:     AccountResult{Name: a.Name, Share: a.Share},
			firstToken: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
			complete:   hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		})
	}
	duration := g.duration() + config.Drain
	g.served = make([]atomic.Int64, int(duration/bucketDuration)+1)
	return g
}

// duration returns how long the plan sends requests.
func (g *LoadGenerator) duration() time.Duration {
	return time.Duration(g.config.Plan.Seconds * float64(time.Second))
}

// Run sends the plan's requests and returns the results.
func (g *LoadGenerator) Run(ctx context.Context) (LoadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.duration()+g.config.Drain)
	defer cancel()
	poller := newEnginePoller(g.config.Engines)
	g.started = time.Now()
	pollCtx, stopPolling := context.WithTimeout(ctx, g.duration())
	defer stopPolling()
	var polling sync.WaitGroup
	polling.Go(func() { poller.run(pollCtx) })
	var senders sync.WaitGroup
	for _, a := range g.accounts {
		senders.Go(func() { g.send(ctx, a) })
	}
	senders.Wait()
	polling.Wait()
	return g.summarize(poller), nil
}

// send sends each of the account's requests when it is due, without waiting for
// earlier answers. It returns when all requests have ended.
func (g *LoadGenerator) send(ctx context.Context, a *accountLoad) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, r := range a.account.generateRequests(g.duration(), g.config.Plan.Seed) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(g.started.Add(r.after))):
		}
		a.noteOffered(r)
		if a.outstanding.Load() >= maxOutstanding {
			a.count(&a.result.Dropped)
			continue
		}
		a.outstanding.Add(1)
		open.Go(func() {
			defer a.outstanding.Add(-1)
			g.sendRequest(ctx, a, r)
		})
	}
}

func (a *accountLoad) noteOffered(r loadRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.Offered++
	a.result.OfferedTokens += int64(AnswerLength(r.prompt, r.seed, r.maxTokens))
}

func (a *accountLoad) count(field *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*field++
}

// sendRequest sends a request and reads its answer. Latencies count from the time
// at which the request was due, not from when it was sent. Otherwise a slow load
// generator would hide the latency of a slow system (coordinated omission).
func (g *LoadGenerator) sendRequest(ctx context.Context, a *accountLoad, r loadRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := g.sendToAnyEntry(ctx, a, r)
	if err != nil {
		g.noteIncomplete(ctx, a, r, 0)
		return
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.count(&a.result.Refused)
		return
	default:
		a.count(&a.result.Failed)
		return
	}
	if tokens, complete := g.readStream(a, r, response); !complete {
		g.noteIncomplete(ctx, a, r, tokens)
	}
}

// noteIncomplete counts a request without a complete answer. If the run ended
// before the first token, the time waited so far is recorded as the latency of
// the first token. Otherwise requests that are never served would improve the
// latencies.
func (g *LoadGenerator) noteIncomplete(ctx context.Context, a *accountLoad, r loadRequest, tokens int) {
	if ctx.Err() == nil {
		a.count(&a.result.Failed)
		return
	}
	a.count(&a.result.Unfinished)
	if tokens == 0 {
		a.record(a.firstToken, g.sinceDue(r))
	}
}

// sendToAnyEntry sends the request to the entries one after the other until one
// responds. Successive requests start at successive entries.
func (g *LoadGenerator) sendToAnyEntry(ctx context.Context, a *accountLoad, r loadRequest) (*http.Response, error) {
	body, err := json.Marshal(entry.GenerateBody{
		Model:          g.config.Model,
		Prompt:         r.prompt,
		MaxTokens:      r.maxTokens,
		Seed:           r.seed,
		Group:          fmt.Sprintf("%s-%d", a.account.Name, r.group),
		Stream:         true,
		TimeoutSeconds: int(requestTimeout.Seconds()),
	})
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: "load body"})
	}
	entries := g.config.Entries
	if a.account.Entries > 0 {
		entries = entries[:min(len(entries), a.account.Entries)]
	}
	start := g.next.Add(1)
	for i := range uint64(len(entries)) {
		address := entries[(start+i)%uint64(len(entries))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
		if err != nil {
			continue
		}
		request.Header.Set("Authorization", "Bearer "+a.account.Key)
		request.Header.Set("Content-Type", "application/json")
		response, err := g.http.Do(request)
		if err == nil {
			return response, nil
		}
	}
	return nil, errors.WithStack(&fault.UpstreamFailed{Upstream: "every entry", Reason: "no answer"})
}

// readStream reads a stream to its end. It returns the number of tokens and
// whether the answer was complete.
func (g *LoadGenerator) readStream(a *accountLoad, r loadRequest, response *http.Response) (tokens int, complete bool) {
	for e, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxStreamEvent}) {
		if err != nil {
			return tokens, false
		}
		switch e.Type {
		case "chunk":
			var chunk generate.Chunk
			if json.Unmarshal([]byte(e.Data), &chunk) != nil {
				return tokens, false
			}
			if tokens == 0 {
				a.record(a.firstToken, g.sinceDue(r))
			}
			tokens += len(chunk.Tokens)
			g.noteTokens(a, len(chunk.Tokens))
		case "answer":
			a.record(a.complete, g.sinceDue(r))
			a.count(&a.result.Answered)
			return tokens, tokens == AnswerLength(r.prompt, r.seed, r.maxTokens)
		default:
			return tokens, false
		}
	}
	return tokens, false
}

// sinceDue returns the time since a request was due.
func (g *LoadGenerator) sinceDue(r loadRequest) time.Duration {
	return time.Since(g.started.Add(r.after))
}

// noteTokens counts received tokens in the timeline. They also count for the
// account if they arrive while requests are sent; later the offered load has
// ended.
func (g *LoadGenerator) noteTokens(a *accountLoad, tokens int) {
	now := time.Since(g.started)
	if now < g.duration() {
		a.mu.Lock()
		a.result.Tokens += int64(tokens)
		a.mu.Unlock()
	}
	if bucket := int(now / bucketDuration); bucket < len(g.served) {
		g.served[bucket].Add(int64(tokens))
	}
}

func (a *accountLoad) record(h *hdrhistogram.Histogram, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = h.RecordValue(min(maxRecordedMicros, max(1, d.Microseconds())))
}
