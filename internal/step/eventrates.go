package step

import "sync"

// eventRates holds, by service, the number of events for each token that a trainer expects, learned
// from complete texts. It is safe for concurrent use.
type eventRates struct {
	mu        sync.Mutex
	byService map[string]*eventRate
}

// eventRate holds decaying sums over complete texts.
type eventRate struct{ events, tokens float64 }

// eventRateDecay is the weight of the earlier texts after another one: about the last hundred count.
const eventRateDecay = 0.99

// note records a complete text and the number of tokens that was expected of it.
func (r *eventRates) note(service string, events int64, tokens float64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = make(map[string]*eventRate)
	}
	rate := r.byService[service]
	if rate == nil {
		rate = &eventRate{}
		r.byService[service] = rate
	}
	rate.events = rate.events*eventRateDecay + float64(events)
	rate.tokens = rate.tokens*eventRateDecay + tokens
}

// eventsPerToken returns the number of events for each expected token; 0 when unknown.
func (r *eventRates) eventsPerToken(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate := r.byService[service]; rate != nil {
		return rate.events / rate.tokens
	}
	return 0
}
