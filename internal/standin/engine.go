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

// EngineConfig shapes a stand-in engine.
type EngineConfig struct {
	Model   string
	Adapter string
	// Slots is how many requests run at once; more wait in order of arrival.
	Slots int
	// TokenTime is the time per token of a lone request; with a full batch it
	// doubles, as batches slow each other down.
	TokenTime time.Duration
	// PrefillTime is the time per prompt word that is not in the prefix cache.
	PrefillTime time.Duration
	// CachedPrefixes is how many prompts the prefix cache holds.
	CachedPrefixes int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// SwapTime is how long a load of weights takes.
	SwapTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old epoch.
	ChecksFencing bool
	// Version is the weight version at the start.
	Version int64
}

// tokensPerChunk is how many tokens one event of a stream holds.
const tokensPerChunk = 4

// PathCounts returns what an engine or a service has seen.
const PathCounts = "/stand-in/counts"

// Counts is what an upstream stand-in has seen.
type Counts struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Tokens    int64 `json:"tokens"`
	// CacheHits is how many prompts were in the prefix cache.
	CacheHits int64 `json:"cacheHits"`
	// KeysSeen counts requests that held a caller's key anywhere.
	KeysSeen int64 `json:"keysSeen"`
	// StaleOrders counts orders that came with an epoch older than one seen.
	StaleOrders int64 `json:"staleOrders"`
	Orders      int64 `json:"orders"`
	// Runs counts the runs of each request ID.
	Runs map[string]int64 `json:"runs"`
}

// Engine stands in for a model engine.
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

// NewEngine returns an engine that serves nothing yet.
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
		counts:      Counts{Runs: make(map[string]int64)},
	}
}

// Handler serves the engine's interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	mux.HandleFunc("GET "+engine.PathLoad, e.load)
	mux.HandleFunc("POST "+engine.PathOrders, e.order)
	mux.HandleFunc("GET "+PathCounts, e.showCounts)
	return e.faults.wrap(mux)
}

func (e *Engine) showCounts(w http.ResponseWriter, _ *http.Request) {
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

// begin counts the request and reports whether the engine serves its model.
func (e *Engine) begin(r *http.Request, body string, request engine.CompletionRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if holdsKey(body) || holdsKey(fmt.Sprint(r.Header, r.URL)) {
		e.counts.KeysSeen++
	}
	if request.Model != e.model || request.Adapter != e.adapter {
		return false
	}
	e.counts.Started++
	e.counts.Runs[request.RequestID]++
	return true
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request engine.CompletionRequest) {
	path := r.URL.Path
	breakFault, breaks := e.faults.take(path, FaultBreak)
	_, misreports := e.faults.take(path, FaultMisreport)
	if !e.sleep(r, e.prefill(request)) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	total := answerLength(request)
	for offset := len(request.Resume); offset < total; {
		end := min(offset+tokensPerChunk, total)
		if breaks && offset-len(request.Resume) >= breakFault.Tokens {
			panic(http.ErrAbortHandler)
		}
		if !e.sleep(r, time.Duration(end-offset)*e.tokenTime()) {
			return
		}
		e.send(w, e.chunk(request, offset, end, total, misreports))
		offset = end
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.DoneEvent)
	e.mu.Lock()
	e.counts.Completed++
	e.mu.Unlock()
}

// sleep waits for d and reports whether the caller is still there.
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
	if slow, ok := e.faults.take(engine.PathCompletions, FaultSlow); ok {
		factor *= slow.Factor
	}
	return time.Duration(float64(e.config.TokenTime) * factor)
}

// prefill returns the time that the prompt takes and updates the prefix cache.
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

func (e *Engine) chunk(request engine.CompletionRequest, offset, end, total int, misreports bool) engine.CompletionChunk {
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
	if misreports {
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

// Token returns the token at an index of the answer to a prompt. It depends on
// nothing else, so that a test can check resumed answers.
func Token(prompt string, seed int64, index int) string {
	return fmt.Sprintf(" %04x", xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", prompt, seed, index))&0xffff)
}

// answerLength returns how many tokens the answer has: mostly a quarter to a
// half of the bound, sometimes all of it, as with real stragglers.
func answerLength(request engine.CompletionRequest) int {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", request.Prompt, request.Seed))
	limit := request.MaxTokens
	if h%16 == 0 {
		return limit
	}
	return max(1, limit/4+int(h>>8%uint64(limit/4+1)))
}

// AnswerLength returns the length in tokens of the answer to a prompt.
func AnswerLength(prompt string, seed int64, maxTokens int) int {
	return answerLength(engine.CompletionRequest{Prompt: prompt, Seed: seed, MaxTokens: maxTokens})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.config.LoadLag {
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
	if !e.admitOrder(order) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if _, fails := e.faults.take(r.URL.Path, FaultFailSwap); fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(e.config.SwapTime)
	e.carryOut(order)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) admitOrder(order engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Epoch < e.epoch {
		e.counts.StaleOrders++
		return !e.config.ChecksFencing
	}
	e.epoch = order.Epoch
	return true
}

func (e *Engine) carryOut(order engine.Order) {
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
