package step

import "sync"

// eventRates holds, by service, the number of events of a text, and for each token that a trainer expects, learned
// from complete texts. It is safe for concurrent use.
type eventRates struct {
	mu        sync.Mutex
	byService map[string]*eventRate
}

// eventRate holds decaying sums over complete texts: of those with a number of expected tokens, and of all.
type eventRate struct{ events, tokens, allEvents, allTexts float64 }

// eventRateDecay is the weight of the earlier texts after another one: about the last hundred count.
const eventRateDecay = 0.99

// note records a complete text and the number of tokens that was expected of it; 0 when unknown.
func (r *eventRates) note(service string, events int64, tokens float64) {
	if events <= 0 {
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
	rate.allEvents = rate.allEvents*eventRateDecay + float64(events)
	rate.allTexts = rate.allTexts*eventRateDecay + 1
	if tokens > 0 {
		rate.events = rate.events*eventRateDecay + float64(events)
		rate.tokens = rate.tokens*eventRateDecay + tokens
	}
}

// eventsPerToken returns the number of events for each expected token; 0 when unknown.
func (r *eventRates) eventsPerToken(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate := r.byService[service]; rate != nil && rate.tokens > 0 {
		return rate.events / rate.tokens
	}
	return 0
}

// expectedEvents returns the number of events that a text is expected to have, given its expected tokens, 0 when unknown;
// 0 when no text of the service was complete yet.
func (r *eventRates) expectedEvents(service string, tokens float64) float64 {
	if events := tokens * r.eventsPerToken(service); events > 0 {
		return events
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate := r.byService[service]; rate != nil {
		return rate.allEvents / rate.allTexts
	}
	return 0
}
