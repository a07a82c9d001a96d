package promptcache

import "time"

const (
	// InitialTokensPerMilli is the reading rate of engines before it has been measured.
	InitialTokensPerMilli = 300.0
	// minTokensPerMilli and maxTokensPerMilli bound measured rates.
	minTokensPerMilli, maxTokensPerMilli = 20.0, 10_000.0
	// minMeasuredTokens is the smallest number of tokens whose reading tells the rate. The reading of
	// fewer takes about as long as a call.
	minMeasuredTokens = 2_000
	// rateWeight is the weight of a new measurement of the rate.
	rateWeight = 0.1
	// RunningShare is by how much each running request slows the others of its engine down.
	RunningShare = 0.02
	// minSaving is the smallest share of the generation that a prompt's reading must take for the
	// prompt to matter: a sixth of what one more running request costs.
	minSaving = RunningShare / 6
)

// Request is what the choice of an engine needs to know of a request.
type Request struct {
	Prompt Prompt
	// OutputTokens is the expected number of tokens that the engine generates.
	OutputTokens int
}

// Candidate is an engine to which a request can be sent. Only engines that are equal in all that takes
// precedence are candidates: residency, weight versions, suspicion, slow start, urgency and shares.
type Candidate struct {
	Engine Engine
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// TokenTime is the expected time for a generated token without other requests.
	TokenTime time.Duration
	// Slowdown is how many times longer than usual the engine takes; reading takes as much longer.
	Slowdown float64
	// Running is the number of requests at the engine, RunningTokens the memory that they take, and
	// MemoryTokens the engine's memory.
	Running, RunningTokens, MemoryTokens int
}

// Matters reports whether the prompt of a request is long enough to decide between engines that
// generate its output in a time.
func (r Request) Matters(tokensPerMilli float64, generation time.Duration) bool {
	reading := ReadingTime(r.Prompt.Shared().Tokens(), tokensPerMilli, 1)
	return reading > 0 && float64(reading) >= minSaving*float64(generation)
}

// Missing returns the number of tokens of a request's prompt that an engine has to read. Parts that don't
// stay beside the request in the engine's memory count as missing.
func (t *Table) Missing(r Request, c Candidate) int {
	return r.Prompt.Tokens() - t.Kept(c.Engine, r.Prompt, c.FreeTokens(r))
}

// Choose returns the index of the candidate with the least expected time until the request's last token:
// its wait for a slot, the reading of the parts that the engine lacks, and the generation at its load and
// speed, together with the time that the request takes from those that run there. A hit thus loses to a
// miss that starts earlier. Equal candidates are chosen in their order; Choose returns -1 if there are none.
func (t *Table) Choose(r Request, candidates []Candidate, tokensPerMilli float64) int {
	best, least := -1, time.Duration(0)
	for i, c := range candidates {
		cost := c.Wait + c.generation(r.OutputTokens)
		if r.Matters(tokensPerMilli, time.Duration(float64(r.OutputTokens)*float64(c.TokenTime))) {
			cost += ReadingTime(t.Missing(r, c), tokensPerMilli, c.Slowdown)
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// FreeTokens returns the engine's memory less what runs there, the request included.
func (c Candidate) FreeTokens(r Request) int { return c.MemoryTokens - c.RunningTokens - r.OwnTokens() }

// OwnTokens returns the memory that the request takes beside the parts that it shares.
func (r Request) OwnTokens() int {
	return r.Prompt.Tokens() - r.Prompt.Shared().Tokens() + r.OutputTokens
}

// generation returns the time for the output of a request, and what the request takes from the others.
func (c Candidate) generation(outputTokens int) time.Duration {
	alone := float64(outputTokens) * float64(c.TokenTime) * c.Slowdown
	return time.Duration(alone * (1 + 2*RunningShare*float64(c.Running)))
}

// ReadingTime returns how long an engine reads a number of tokens.
func ReadingTime(tokens int, tokensPerMilli, slowdown float64) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMilli * slowdown * float64(time.Millisecond))
}

// NextRate returns the reading rate, in tokens for a millisecond, after an engine has read a number of
// tokens in a time. Measurements out of bounds count as the bound, those of few tokens not at all.
func NextRate(rate float64, tokens int, took time.Duration) float64 {
	if tokens < minMeasuredTokens || took <= 0 {
		return rate
	}
	measured := float64(tokens) / (float64(took) / float64(time.Millisecond))
	return rate + rateWeight*(min(max(measured, minTokensPerMilli), maxTokensPerMilli)-rate)
}
