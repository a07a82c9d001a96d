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

// LoadConfig shapes one run of the load generator.
type LoadConfig struct {
	Plan LoadPlan
	// Entries are the callers' addresses; one that can't be reached is passed
	// over, as by a balancer.
	Entries []string
	// Engines are the stand-in engines to watch.
	Engines []string
	Model   string
	// Drain is how long answers are awaited after the last request.
	Drain time.Duration
}

const (
	// longestMicros bounds the recorded times.
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of the histograms in decimal digits.
	digits = 3
	// loadBucket is the step of the time line of served tokens.
	loadBucket = 250 * time.Millisecond
	// maxOutstanding bounds the open requests of an account.
	maxOutstanding = 4000
	requestTimeout = 60 * time.Second
	maxStreamEvent = 1 << 20
)

// accountLoad is what the load of one account has got so far.
type accountLoad struct {
	account LoadAccount
	result  AccountResult

	mu    sync.Mutex
	first *hdrhistogram.Histogram
	whole *hdrhistogram.Histogram

	outstanding atomic.Int64
}

// Load runs a plan against real daemons.
type Load struct {
	config   LoadConfig
	http     *http.Client
	started  time.Time
	accounts []*accountLoad
	// served counts the tokens received in each bucket.
	served []atomic.Int64
	next   atomic.Uint64
}

// NewLoad returns a load that has sent nothing.
func NewLoad(config LoadConfig) *Load {
	l := &Load{
		config: config,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}},
	}
	for _, a := range config.Plan.Accounts {
		l.accounts = append(l.accounts, &accountLoad{
			account: a,
			result:  AccountResult{Name: a.Name, Share: a.Share},
			first:   hdrhistogram.New(1, longestMicros, digits),
			whole:   hdrhistogram.New(1, longestMicros, digits),
		})
	}
	span := l.span() + config.Drain
	l.served = make([]atomic.Int64, int(span/loadBucket)+1)
	return l
}

func (l *Load) span() time.Duration {
	return time.Duration(l.config.Plan.Seconds * float64(time.Second))
}

// Run sends the plan's requests and returns what came of them.
func (l *Load) Run(ctx context.Context) (LoadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.span()+l.config.Drain)
	defer cancel()
	watch := newEngineWatch(l.config.Engines)
	l.started = time.Now()
	watching, stopWatching := context.WithTimeout(ctx, l.span())
	defer stopWatching()
	var watched sync.WaitGroup
	watched.Go(func() { watch.run(watching) })
	var senders sync.WaitGroup
	for _, a := range l.accounts {
		senders.Go(func() { l.send(ctx, a) })
	}
	senders.Wait()
	watched.Wait()
	return l.summarize(watch), nil
}

// send fires the account's requests at their times and waits for the answers.
func (l *Load) send(ctx context.Context, a *accountLoad) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, r := range a.account.draw(l.span(), l.config.Plan.Seed) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(l.started.Add(r.after))):
		}
		a.offered(r)
		if a.outstanding.Load() >= maxOutstanding {
			a.count(&a.result.Dropped)
			continue
		}
		a.outstanding.Add(1)
		open.Go(func() {
			defer a.outstanding.Add(-1)
			l.one(ctx, a, r)
		})
	}
}

func (a *accountLoad) offered(r loadRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.Sent++
	a.result.OfferedTokens += int64(AnswerLength(r.prompt, r.seed, r.maxTokens))
}

func (a *accountLoad) count(field *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*field++
}

// one sends a request and follows its answer. Times count from when the
// request was due, not from when it was sent, so that a slow generator can't
// hide the waits of a slow system.
func (l *Load) one(ctx context.Context, a *accountLoad, r loadRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := l.connect(ctx, a, r)
	if err != nil {
		l.ended(ctx, a, r, 0)
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
	if tokens, whole := l.follow(a, r, response); !whole {
		l.ended(ctx, a, r, tokens)
	}
}

// ended counts a request without a whole answer. One that the end of the run
// cut off while it waited goes into the times with what it had waited by then,
// so that requests which are never served don't make the figures look better.
func (l *Load) ended(ctx context.Context, a *accountLoad, r loadRequest, tokens int) {
	if ctx.Err() == nil {
		a.count(&a.result.Failed)
		return
	}
	a.count(&a.result.Unfinished)
	if tokens == 0 {
		a.record(a.first, l.since(r))
	}
}

// connect sends the request to one entry after the other until one can be
// reached.
func (l *Load) connect(ctx context.Context, a *accountLoad, r loadRequest) (*http.Response, error) {
	body, err := json.Marshal(entry.GenerateBody{
		Model:          l.config.Model,
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
	entries := l.config.Entries
	if a.account.Entries > 0 {
		entries = entries[:min(len(entries), a.account.Entries)]
	}
	start := l.next.Add(1)
	for i := range uint64(len(entries)) {
		address := entries[(start+i)%uint64(len(entries))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
		if err != nil {
			continue
		}
		request.Header.Set("Authorization", "Bearer "+a.account.Key)
		request.Header.Set("Content-Type", "application/json")
		response, err := l.http.Do(request)
		if err == nil {
			return response, nil
		}
	}
	return nil, errors.WithStack(&fault.UpstreamFailed{Upstream: "every entry", Reason: "no answer"})
}

// follow reads a stream to its end, and returns its tokens and whether it was
// whole.
func (l *Load) follow(a *accountLoad, r loadRequest, response *http.Response) (tokens int, whole bool) {
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
				a.record(a.first, l.since(r))
			}
			tokens += len(chunk.Tokens)
			l.serve(a, len(chunk.Tokens))
		case "answer":
			a.record(a.whole, l.since(r))
			a.count(&a.result.Answered)
			return tokens, tokens == AnswerLength(r.prompt, r.seed, r.maxTokens)
		default:
			return tokens, false
		}
	}
	return tokens, false
}

func (l *Load) since(r loadRequest) time.Duration { return time.Since(l.started.Add(r.after)) }

// serve counts tokens that arrived. Those after the last request was sent don't
// count for the account: by then the offered load has ended.
func (l *Load) serve(a *accountLoad, tokens int) {
	now := time.Since(l.started)
	if now < l.span() {
		a.mu.Lock()
		a.result.Tokens += int64(tokens)
		a.mu.Unlock()
	}
	if bucket := int(now / loadBucket); bucket < len(l.served) {
		l.served[bucket].Add(int64(tokens))
	}
}

func (a *accountLoad) record(h *hdrhistogram.Histogram, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = h.RecordValue(min(longestMicros, max(1, d.Microseconds())))
}
