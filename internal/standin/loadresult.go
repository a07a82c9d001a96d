package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwoodpond/internal/engine"
)

// AccountResult holds the results of one account.
type AccountResult struct {
	Name  string `json:"name"`
	Share int    `json:"share"`
	// Offered counts the requests that were due, including dropped ones.
	Offered  int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// Refused counts answers with status 429 or 503.
	Refused int64 `json:"refused"`
	// Failed counts requests that ended otherwise without a complete answer.
	Failed int64 `json:"failed"`
	// Dropped counts requests that were due but not sent, because maxOutstanding
	// requests were open.
	Dropped int64 `json:"dropped"`
	// Unfinished counts requests that were still queued or running at the end of
	// the run.
	Unfinished int64 `json:"unfinished"`
	// OfferedTokens is the number of tokens that complete answers to all due
	// requests would have. Tokens is the number of tokens received while requests
	// were sent.
	OfferedTokens int64 `json:"offeredTokens"`
	Tokens        int64 `json:"tokens"`
	// ShareRatio is the ratio of Tokens to the number of tokens that the account is
	// entitled to by its share.
	ShareRatio float64 `json:"overShare"`
	// FirstP50Millis and FirstP99Millis are percentiles of the time to the first
	// token, CompleteP99Millis of the time to the end of the answer.
	FirstP50Millis    float64 `json:"firstP50Millis"`
	FirstP99Millis    float64 `json:"firstP99Millis"`
	CompleteP99Millis float64 `json:"wholeP99Millis"`
}

// FaultResult holds the recovery time of a fault.
type FaultResult struct {
	Name string `json:"name"`
	// RecoverySeconds is the time from the fault until the first second in which
	// the service delivers at least 80 % of the expected tokens. These are the
	// tokens per second before the first fault, scaled by
	// LoadFault.RemainingPercent. The value is -1 if the service did not recover
	// before the next fault or the end.
	RecoverySeconds float64 `json:"recoverySeconds"`
}

// LoadResult holds the results of a run.
type LoadResult struct {
	Accounts []AccountResult `json:"accounts"`
	// LowestShareRatio is the lowest ShareRatio of any account; -1 if no account is
	// entitled to any tokens.
	LowestShareRatio float64 `json:"worstOverShare"`
	// EngineUse is the mean share of the engines' slots that were in use, in
	// percent. EngineQueue is the mean number of requests queued in one engine.
	EngineUse   float64 `json:"engineUse"`
	EngineQueue float64 `json:"engineQueue"`
	// CacheHits is the percentage of attempts whose prompt was in the prefix cache
	// of the engine.
	CacheHits float64       `json:"cacheHits"`
	Tokens    int64         `json:"tokens"`
	Faults    []FaultResult `json:"faults,omitempty"`
	// ServedTokens is the timeline of received tokens: one number per interval of
	// 250 ms.
	ServedTokens []int64 `json:"servedTokens"`
}

func (g *LoadGenerator) summarize(poller *enginePoller) LoadResult {
	var result LoadResult
	for _, a := range g.accounts {
		a.mu.Lock()
		r := a.result
		r.FirstP50Millis = millisAt(a.firstToken, 50)
		r.FirstP99Millis = millisAt(a.firstToken, 99)
		r.CompleteP99Millis = millisAt(a.complete, 99)
		a.mu.Unlock()
		result.Accounts = append(result.Accounts, r)
		result.Tokens += r.Tokens
	}
	result.LowestShareRatio = compareWithShares(result.Accounts)
	result.EngineUse, result.EngineQueue, result.CacheHits = poller.averages()
	for i := range g.served {
		result.ServedTokens = append(result.ServedTokens, g.served[i].Load())
	}
	result.Faults = recoveries(g.config.Plan, result.ServedTokens)
	return result
}

func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// compareWithShares sets ShareRatio in each account and returns the lowest. An
// account is entitled to its max-min fair part of all served tokens: in proportion
// to its share, but at most what it requested. Tokens that an account does not
// request are divided among the others in proportion to their shares.
func compareWithShares(accounts []AccountResult) float64 {
	entitled := make([]float64, len(accounts))
	var remaining float64
	for _, a := range accounts {
		remaining += float64(a.Tokens)
	}
	uncapped := make(map[int]bool)
	for i, a := range accounts {
		uncapped[i] = a.OfferedTokens > 0
	}
	for {
		shares, capped := 0.0, -1
		for i, a := range accounts {
			if uncapped[i] {
				shares += float64(a.Share)
			}
		}
		for i, a := range accounts {
			if uncapped[i] && float64(a.OfferedTokens) <= remaining*float64(a.Share)/shares {
				capped = i
			}
		}
		if capped < 0 {
			for i, a := range accounts {
				if uncapped[i] {
					entitled[i] = remaining * float64(a.Share) / shares
				}
			}
			break
		}
		entitled[capped] = float64(accounts[capped].OfferedTokens)
		remaining -= entitled[capped]
		uncapped[capped] = false
	}
	lowest := -1.0
	for i := range accounts {
		if entitled[i] <= 0 {
			continue
		}
		accounts[i].ShareRatio = float64(accounts[i].Tokens) / entitled[i]
		if lowest < 0 || accounts[i].ShareRatio < lowest {
			lowest = accounts[i].ShareRatio
		}
	}
	return lowest
}

const (
	// recoveredFraction is the fraction of the expected rate at which the service
	// counts as recovered.
	recoveredFraction = 0.8
	// warmUp is the time at the start of the run that the baseline excludes.
	warmUp = 2 * time.Second
	// bucketsPerSecond is the number of buckets in the window of one second over
	// which the rate is measured.
	bucketsPerSecond = int(time.Second / bucketDuration)
)

// recoveries returns the recovery time of each fault in the plan.
func recoveries(plan LoadPlan, served []int64) []FaultResult {
	var results []FaultResult
	if len(plan.Faults) == 0 {
		return nil
	}
	bucketOf := func(seconds float64) int { return int(seconds * float64(bucketsPerSecond)) }
	warm := int(warmUp / bucketDuration)
	first := bucketOf(plan.Faults[0].AtSeconds)
	baseline := float64(sum(served[warm:first])) / float64(first-warm) * float64(bucketsPerSecond)
	for i, f := range plan.Faults {
		end := bucketOf(plan.Seconds)
		if i+1 < len(plan.Faults) {
			end = bucketOf(plan.Faults[i+1].AtSeconds)
		}
		r := FaultResult{Name: f.Name, RecoverySeconds: -1}
		at := bucketOf(f.AtSeconds)
		for b := at; b+bucketsPerSecond <= end; b++ {
			if float64(sum(served[b:b+bucketsPerSecond])) >= recoveredFraction*baseline*f.RemainingPercent/100 {
				r.RecoverySeconds = float64(b-at) / float64(bucketsPerSecond)
				break
			}
		}
		results = append(results, r)
	}
	return results
}

func sum(list []int64) (total int64) {
	for _, n := range list {
		total += n
	}
	return total
}

// WriteTable prints the results as a table.
func (r LoadResult) WriteTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "account\tshare\tsent\tanswered\trefused\tfailed\tdropped\tunfinished\ttokens\tover share\tfirst p50 ms\tfirst p99 ms\t")
	for _, a := range r.Accounts {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.0f\t\n", a.Name, a.Share, a.Offered, a.Answered,
			a.Refused, a.Failed, a.Dropped, a.Unfinished, a.Tokens, a.ShareRatio, a.FirstP50Millis, a.FirstP99Millis)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(out, "worst over share %.2f, engine use %.0f %%, waiting in each engine %.1f, cache hits %.0f %%, %d tokens\n",
		r.LowestShareRatio, r.EngineUse, r.EngineQueue, r.CacheHits, r.Tokens)
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(out, "recovery after %s: %.2f s\n", f.Name, f.RecoverySeconds)
	}
}

// enginePoller polls the load of the stand-in engines during a run and sums it up.
type enginePoller struct {
	addresses []string
	http      *http.Client
	before    map[string]Counts // counts at the start, by address

	mu      sync.Mutex
	samples int
	running int
	waiting int
	started int64
	hits    int64
}

// enginePollInterval is the interval at which an enginePoller reads the load.
const enginePollInterval = 100 * time.Millisecond

func newEnginePoller(addresses []string) *enginePoller {
	p := &enginePoller{addresses: addresses, http: &http.Client{Timeout: time.Second}, before: make(map[string]Counts)}
	for _, address := range addresses {
		var c Counts
		if p.get(context.Background(), address, PathCounts, &c) {
			p.before[address] = c
		}
	}
	return p
}

func (p *enginePoller) get(ctx context.Context, address, path string, into any) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	response, err := p.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

// run polls the engines until ctx ends, then reads their counts.
func (p *enginePoller) run(ctx context.Context) {
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.readCounts()
			return
		case <-ticker.C:
		}
		for _, address := range p.addresses {
			var load engine.Load
			if p.get(ctx, address, engine.PathLoad, &load) {
				p.add(load)
			}
		}
	}
}

func (p *enginePoller) add(load engine.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples++
	p.running += load.Running
	p.waiting += load.Waiting
}

func (p *enginePoller) readCounts() {
	for _, address := range p.addresses {
		var c Counts
		if p.get(context.Background(), address, PathCounts, &c) {
			p.started += c.Started - p.before[address].Started
			p.hits += c.CacheHits - p.before[address].CacheHits
		}
	}
}

// averages returns the mean use of the slots in percent, the mean number of
// requests queued in one engine, and the percentage of cache hits.
func (p *enginePoller) averages() (use, queue, hits float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples > 0 {
		use = 100 * float64(p.running) / float64(p.samples) / defaultSlots
		queue = float64(p.waiting) / float64(p.samples)
	}
	if p.started > 0 {
		hits = 100 * float64(p.hits) / float64(p.started)
	}
	return use, queue, hits
}

// defaultSlots is the default number of slots of a stand-in engine. The averages
// assume it for every engine.
const defaultSlots = 8
