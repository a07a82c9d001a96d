package step

import (
	"math"
	"sync"
	"time"
)

const (
	// moveMargin is the part of a move's cost that isn't measured: the pass of the dispatcher, the
	// call to the other engine, and reading of the text there.
	moveMargin = 60 * time.Millisecond
	// pendingMoveRatio is how many times slower than the other engine an engine must be for its items
	// to move while items of the step wait for a slot. One of these takes the slot that becomes free.
	pendingMoveRatio = 2.0
	// delayingShare is the share of the time of the step's longest item at the other engine that an
	// item must still need for a move. The expected lengths are not exact, so it is below 1.
	delayingShare = 0.85
)

// move is what is known when it is decided whether an item moves to another engine. It answers
// the load of a step that fills engines of different lasting speeds, all of which have slow phases.
type move struct {
	// remaining is the expected number of events that remain of the item, and shareOfLongest its share
	// of the number that remains of the step's longest item.
	remaining, shareOfLongest float64
	// here is the measured time for an event at the item's engine.
	here time.Duration
	// there is the expected time for an event at the other engine.
	there time.Duration
	// reading is the time that the item's engine took to read the prompt.
	reading time.Duration
	// othersPending is true while other items of the step wait for a slot.
	othersPending bool
}

// pays reports whether the item gains more by the move than the move costs: reading of the prompt, the
// event that the engine is generating, and moveMargin. An item that ends before the step's longest item
// in any case stays: its move would gain nothing for the step, and take the slot from another item.
func (m move) pays() bool {
	if m.there <= 0 || m.here <= m.there || !delaysStep(m.shareOfLongest, m.here, m.there) {
		return false
	}
	if m.othersPending && float64(m.here) < pendingMoveRatio*float64(m.there) {
		return false
	}
	return m.remaining*float64(m.here-m.there) > float64(m.reading+m.there+moveMargin)
}

// delaysStep reports whether an item would end after the step's longest item if that one ran at an
// engine with the time there for an event.
func delaysStep(shareOfLongest float64, here, there time.Duration) bool {
	return shareOfLongest*float64(here) > delayingShare*float64(there)
}

// remainingWork estimates what remains of items from what is known of their lengths.
type remainingWork struct {
	// eventsPerToken is the number of events for each token that is expected; 0 when unknown.
	eventsPerToken float64
	// longest is the most that remains of an item, as compared by size.
	longest float64
}

// events estimates the number of events that remain of an item after a number of its events. A text
// of unknown length is expected to be half done, and one that has passed its expected length to go on
// as far as it has passed it.
func (w remainingWork) events(read int64, tokens float64) float64 {
	expected := tokens * w.eventsPerToken
	if expected <= 0 {
		return float64(read)
	}
	return math.Abs(expected - float64(read))
}

// size returns what remains of an item for a comparison with others: events or, until the number of
// events for a token is known, all its tokens.
func (w remainingWork) size(read int64, tokens float64) float64 {
	if w.eventsPerToken == 0 && tokens > 0 {
		return tokens
	}
	return w.events(read, tokens)
}

// shareOfLongest returns the share of what remains of an item in what remains of the longest.
func (w remainingWork) shareOfLongest(read int64, tokens float64) float64 {
	if w.longest <= 0 {
		return 1
	}
	return w.size(read, tokens) / w.longest
}

// speedMeter measures the time between the events of one attempt.
type speedMeter struct {
	// times are when the last speedEvents events arrived, and the one before them or the start. They
	// are in a ring in which next is the oldest.
	times  [speedEvents + 1]time.Time
	next   int
	events int
}

func newSpeedMeter(now time.Time) speedMeter {
	return speedMeter{times: [speedEvents + 1]time.Time{now}, next: 1}
}

// addEvent counts an event, and returns the average time for the last speedEvents events; ok is false
// while there were fewer.
func (m *speedMeter) addEvent(now time.Time) (average time.Duration, ok bool) {
	m.times[m.next] = now
	m.next = (m.next + 1) % len(m.times)
	m.events++
	return now.Sub(m.times[m.next]) / speedEvents, m.events >= speedEvents
}

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
