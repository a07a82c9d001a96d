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
	// prompt to matter: a third of what one more running request costs.
	minSaving = RunningShare / 3
)

// Request is what the choice of an engine needs to know of a request.
type Request struct {
	Prompt Prompt
	// OutputTokens is the expected number of tokens that the engine generates.
	OutputTokens int
}

// Candidate is an engine to which a request can be sent.
type Candidate struct {
	Engine Engine
	// RunningTokens is the memory that running requests take, and MemoryTokens the engine's memory.
	RunningTokens, MemoryTokens int
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

// FreeTokens returns the engine's memory less what runs there, the request included.
func (c Candidate) FreeTokens(r Request) int { return c.MemoryTokens - c.RunningTokens - r.OwnTokens() }

// OwnTokens returns the memory that the request takes beside the parts that it shares.
func (r Request) OwnTokens() int {
	return r.Prompt.Tokens() - r.Prompt.Shared().Tokens() + r.OutputTokens
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
