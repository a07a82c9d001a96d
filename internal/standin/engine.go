package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"dogwoodpond/internal/engine"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	Model   string
	Adapter string
	// Slots is the number of requests that run concurrently. Further requests
	// are queued in order of arrival.
	Slots int
	// TokenTime is the time per token of a request that runs alone. The time
	// grows with the number of running requests and is almost twice as long
	// when all slots are in use, because the requests of a batch slow each other
	// down.
	TokenTime time.Duration
	// PrefillTime is the time per prompt word that is not in the prefix cache.
	PrefillTime time.Duration
	// CachedPrefixes is the capacity of the prefix cache in prompts.
	CachedPrefixes int
	// LoadReportLag is the age at which a load report is renewed.
	LoadReportLag time.Duration
	// WeightLoadTime is the duration of a weight load.
	WeightLoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an epoch older than the
	// newest that it has received.
	ChecksFencing bool
	// Version is the weight version at the start.
	Version int64
}

// tokensPerChunk is the number of tokens in one event of a stream.
const tokensPerChunk = 4

// PathCounts is the path at which an engine or a service returns its Counts.
const PathCounts = "/stand-in/counts"

// Counts counts the requests that a stand-in upstream has received.
type Counts struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Tokens    int64 `json:"tokens"`
	// CacheHits counts requests whose prompt was in the prefix cache.
	CacheHits int64 `json:"cacheHits"`
	// KeysSeen counts requests that contained a caller's key in the body, the
	// headers, the URL or, at a service, the trailers.
	KeysSeen int64 `json:"keysSeen"`
	// StaleOrders counts orders whose epoch was older than that of an earlier
	// order.
	StaleOrders int64 `json:"staleOrders"`
	Orders      int64 `json:"orders"`
	// Executions counts executions by request ID, or by a description of the call at a
	// service.
	Executions map[string]int64 `json:"runs"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	config EngineConfig
	faults *faults
	slots  chan struct{}

	running atomic.Int64
	waiting atomic.Int64

	mu          sync.Mutex
	incarnation string
	version     int64
	model       string
	adapter     string
	role        string
	epoch       uint64
	orders      map[string]bool
	cache       []string
	counts      Counts
	report      engine.Load
	reportedAt  time.Time
}

// NewEngine returns an engine in a new incarnation.
func NewEngine(config EngineConfig) *Engine {
	return &Engine{
		config:      config,
		faults:      newFaults(),
		slots:       make(chan struct{}, config.Slots),
		incarnation: uuid.NewString(),
		version:     config.Version,
		model:       config.Model,
		adapter:     config.Adapter,
		orders:      make(map[string]bool),
		counts:      Counts{Executions: make(map[string]int64)},
	}
}

// Handler returns the handler of the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	mux.HandleFunc("GET "+engine.PathLoad, e.load)
	mux.HandleFunc("POST "+engine.PathOrders, e.order)
	mux.HandleFunc("GET "+PathCounts, e.serveCounts)
	return e.faults.wrap(mux)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.counts)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request engine.CompletionRequest
	if json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.begin(r, string(body), request) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.waiting.Add(1)
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.running.Add(1)
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.stream(w, r, request)
}

// begin reports whether the engine serves the request's model and adapter, and
// counts the request.
func (e *Engine) begin(r *http.Request, body string, request engine.CompletionRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if containsKey(body) || containsKey(fmt.Sprint(r.Header, r.URL)) {
		e.counts.KeysSeen++
	}
	if request.Model != e.model || request.Adapter != e.adapter {
		return false
	}
	e.counts.Started++
	e.counts.Executions[request.RequestID]++
	return true
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request engine.CompletionRequest) {
	path := r.URL.Path
	truncateFault, truncates := e.faults.consume(path, FaultTruncate)
	_, omitsVersion := e.faults.consume(path, FaultOmitVersion)
	if !e.sleep(r, e.prefill(request)) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	total := answerLength(request)
	for offset := len(request.Resume); offset < total; {
		end := min(offset+tokensPerChunk, total)
		if truncates && offset-len(request.Resume) >= truncateFault.Tokens {
			panic(http.ErrAbortHandler)
		}
		if !e.sleep(r, time.Duration(end-offset)*e.tokenTime()) {
			return
		}
		e.send(w, e.chunk(request, offset, end, total, omitsVersion))
		offset = end
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.DoneEvent)
	e.mu.Lock()
	e.counts.Completed++
	e.mu.Unlock()
}

// sleep waits for d. It returns false at once when the caller cancels the
// request.
func (e *Engine) sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) tokenTime() time.Duration {
	load := float64(e.running.Load()-1) / float64(e.config.Slots)
	factor := 1 + load
	if slow, ok := e.faults.consume(engine.PathCompletions, FaultSlow); ok {
		factor *= slow.Factor
	}
	return time.Duration(float64(e.config.TokenTime) * factor)
}

// prefill returns the time to process the prompt and updates the prefix cache,
// which evicts the least recently used prompt.
func (e *Engine) prefill(request engine.CompletionRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	words := len(strings.Fields(request.Prompt)) + len(request.Resume)
	for i, cached := range e.cache {
		if cached == request.Prompt {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), cached)
			e.counts.CacheHits++
			return time.Duration(len(request.Resume)) * e.config.PrefillTime
		}
	}
	e.cache = append(e.cache, request.Prompt)
	if len(e.cache) > e.config.CachedPrefixes {
		e.cache = e.cache[1:]
	}
	return time.Duration(words) * e.config.PrefillTime
}

func (e *Engine) chunk(request engine.CompletionRequest, offset, end, total int, omitsVersion bool) engine.CompletionChunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens += int64(end - offset)
	choice := engine.CompletionChoice{Offset: offset}
	for i := offset; i < end; i++ {
		choice.Tokens = append(choice.Tokens, Token(request.Prompt, request.Seed, i))
	}
	if end == total {
		choice.FinishReason = "stop"
	}
	chunk := engine.CompletionChunk{
		ID:            request.RequestID,
		Model:         request.Model,
		Choices:       []engine.CompletionChoice{choice},
		WeightVersion: e.version,
		Incarnation:   e.incarnation,
	}
	if omitsVersion {
		chunk.WeightVersion = 0
	}
	return chunk
}

func (e *Engine) send(w http.ResponseWriter, chunk engine.CompletionChunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// Token returns the token at an index of the answer to a prompt with a seed. It
// depends on its arguments only, so that tests can check resumed answers.
func Token(prompt string, seed int64, index int) string {
	return fmt.Sprintf(" %04x", xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", prompt, seed, index))&0xffff)
}

// answerLength returns the number of tokens of the answer. Most answers have a
// quarter to a half of the maximum. One in 16 has all of it, as a straggler of a
// real engine has.
func answerLength(request engine.CompletionRequest) int {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", request.Prompt, request.Seed))
	limit := request.MaxTokens
	if h%16 == 0 {
		return limit
	}
	return max(1, limit/4+int(h>>8%uint64(limit/4+1)))
}

// AnswerLength returns the number of tokens of the answer to a prompt.
func AnswerLength(prompt string, seed int64, maxTokens int) int {
	return answerLength(engine.CompletionRequest{Prompt: prompt, Seed: seed, MaxTokens: maxTokens})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.config.LoadReportLag {
		e.reportedAt = time.Now()
		e.report = engine.Load{
			Running:       int(e.running.Load()),
			Waiting:       int(e.waiting.Load()),
			Incarnation:   e.incarnation,
			Model:         e.model,
			Adapter:       e.adapter,
			Role:          e.role,
			WeightVersion: e.version,
		}
	}
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	if !e.acceptOrder(order) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if _, fails := e.faults.consume(r.URL.Path, FaultFailOrder); fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(e.config.WeightLoadTime)
	e.execute(order)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) acceptOrder(order engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Epoch < e.epoch {
		e.counts.StaleOrders++
		return !e.config.ChecksFencing
	}
	e.epoch = order.Epoch
	return true
}

func (e *Engine) execute(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders[order.ID] {
		return
	}
	e.orders[order.ID] = true
	e.counts.Orders++
	switch order.Kind {
	case engine.OrderLoadWeights:
		e.version = order.Version
	case engine.OrderSetPool:
		e.model, e.adapter, e.role = order.Model, order.Adapter, order.Role
	}
	e.reportedAt = time.Time{}
}
