package step

import (
	"sync"
	"time"

	"dogwoodpond/internal/promptcache"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// PromptMetrics counts what the placement by prompts does. It is safe for concurrent use.
type PromptMetrics interface {
	// CountPrompt counts an item that is sent to an engine of a service, by the expected numbers of its
	// prompt's tokens that the engine keeps and reads.
	CountPrompt(service string, kept, read int)
	// CountPromptListDefect counts a list of parts that can't be used.
	CountPromptListDefect()
}

// CountPromptListDefect counts a list of a prompt's parts that can't be used.
func (m *Manager) CountPromptListDefect() {
	if m.PromptMetrics != nil {
		m.PromptMetrics.CountPromptListDefect()
	}
}

// promptKnowledge is what this VM knows of the prompts that the engines keep. It is safe for
// concurrent use.
type promptKnowledge struct {
	table   *promptcache.Table
	metrics PromptMetrics
	mu      sync.Mutex
	// rates holds the reading rate of each service's engines, in tokens for a millisecond.
	rates map[string]float64
}

func newPromptKnowledge(metrics PromptMetrics) *promptKnowledge {
	return &promptKnowledge{metrics: metrics, table: promptcache.NewTable(promptcache.DefaultMaxBytes), rates: make(map[string]float64)}
}

// rate returns the reading rate of a service's engines.
func (k *promptKnowledge) rate(service string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rate, ok := k.rates[service]; ok {
		return rate
	}
	return promptcache.InitialTokensPerMilli
}

// noteReading records how long an engine of a service read a number of tokens.
func (k *promptKnowledge) noteReading(service string, tokens int, took time.Duration) {
	rate := promptcache.NextRate(k.rate(service), tokens, took)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rates[service] = rate
}

// promptNeed is what the placement of an item needs to know of its prompt. A nil *promptNeed is valid.
type promptNeed struct {
	known   *promptKnowledge
	service string
	request promptcache.Request
	// events is the expected number of events of the text.
	events float64
	// memory is the engines' memory in tokens.
	memory int
	// missing is the number of tokens that the engine of the attempt has to read; 0 once noteReading was called.
	missing int
}

// promptNeed returns what the placement of an item needs to know of its prompt; nil unless its parts, the
// memory of the engines and the expected length of the text are known.
func (m *Manager) promptNeed(item *Item, service *route.Service) *promptNeed {
	if len(item.Prompt.Shared()) == 0 || service == nil || service.Engine == nil || service.Engine.KVTokens <= 0 {
		return nil
	}
	events := item.ExpectedTokens * m.eventRates.eventsPerToken(service.Name)
	if events <= 0 {
		return nil
	}
	return &promptNeed{
		known: m.prompts, service: service.Name, events: events, memory: service.Engine.KVTokens,
		request: promptcache.Request{Prompt: item.Prompt, OutputTokens: int(item.ExpectedTokens)},
	}
}

// withoutPrompt returns the need of items whose prompts don't matter.
func (n need) withoutPrompt() need {
	n.prompt = nil
	return n
}

// generation returns the expected time for the text at an engine with the median time for an event.
func (p pool) generation(n need) time.Duration {
	return time.Duration(n.prompt.events * float64(p.median))
}

// promptMatters reports whether the prompt of an item is long enough to decide between the engines.
func (p pool) promptMatters(n need) bool {
	return n.prompt != nil && p.median > 0 && n.prompt.request.Matters(n.prompt.known.rate(n.service), p.generation(n))
}

// readingCost returns the placement cost of the time for which an engine reads the parts of a prompt that
// it lacks. One slot costs what one more running request costs the item. What takes precedence over a
// hit decides first: an engine that is suspect, cold or left to another owner counts as without the parts.
func (p pool) readingCost(e *target.Entry, n need, now time.Time) float64 {
	if !p.promptMatters(n) {
		return 0
	}
	missing := n.prompt.request.Prompt.Tokens()
	if !e.Suspect(now) && !e.Cold(now) && !p.otherFirstSender[e] {
		missing = n.prompt.missingAt(e, n, now)
	}
	slowdown := 1.0
	if unitTime := e.ExpectedUnitTime(now); unitTime > 0 {
		slowdown = float64(unitTime) / float64(p.median)
	}
	reading := promptcache.ReadingTime(missing, n.prompt.known.rate(n.service), slowdown)
	return float64(reading) / float64(p.generation(n)) / (promptcache.RunningShare * float64(e.Slots()))
}

// candidate returns the engine as a candidate for the item. Those that run there are expected to take as
// much memory as the item.
func (p *promptNeed) candidate(e *target.Entry, n need, now time.Time) promptcache.Candidate {
	info := e.Info()
	running := e.Slots() - e.FreeSlots(now)
	return promptcache.Candidate{
		Engine:        promptcache.Engine{Upstream: info.ID, Started: info.Started, Model: n.model, Version: e.Version(n.model)},
		RunningTokens: running * p.request.OwnTokens(), MemoryTokens: p.memory,
	}
}

// missingAt returns the number of tokens of the prompt that an engine has to read.
func (p *promptNeed) missingAt(e *target.Entry, n need, now time.Time) int {
	return p.known.table.Missing(p.request, p.candidate(e, n, now))
}

// noteSent records that the item is sent to an engine, which keeps the prompt from then on.
func (p *promptNeed) noteSent(e *target.Entry, n need, now time.Time) {
	if p == nil {
		return
	}
	c := p.candidate(e, n, now)
	p.missing = p.known.table.Missing(p.request, c)
	if p.known.metrics != nil {
		p.known.metrics.CountPrompt(p.service, p.request.Prompt.Tokens()-p.missing, p.missing)
	}
	p.known.table.NoteRead(c.Engine, p.request.Prompt, c.FreeTokens(p.request))
}

// noteReading records how long the engine of the attempt took to read what it lacked. Only the first call
// has an effect.
func (p *promptNeed) noteReading(took time.Duration) {
	if p == nil || p.missing == 0 {
		return
	}
	p.known.noteReading(p.service, p.missing, took)
	p.missing = 0
}

// promptRankings holds the rankings of the engines for items with equal prompts, for the time of one pass.
type promptRankings map[promptKey]*ranking

// promptKey identifies the items that share a need and a prompt.
type promptKey struct {
	need   needKey
	prompt uint64
}

// get returns the ranking for an item's prompt. A later item of the group may find its engine cheaper than
// ranked, as it keeps the prompt now; that engine was the first and stays it. Another group that shares
// some parts uses the cost from before until the next pass.
func (p promptRankings) get(n need, engines pool, now time.Time) *ranking {
	key := promptKey{n.key(), n.prompt.request.Prompt.SharedKey()}
	if p[key] == nil {
		p[key] = newRanking(engines, n, now)
	}
	return p[key]
}
