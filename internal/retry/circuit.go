package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sony/gobreaker/v2"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

const (
	// tripThreshold is the number of consecutive failures that opens an upstream's
	// circuit.
	tripThreshold = 5
	// openTimeout is the time after which an open circuit allows one attempt as a
	// probe.
	openTimeout = 2 * time.Second
)

// Outcome is the result of an attempt, as it is reported to a circuit.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that the upstream answered.
	Succeeded Outcome = iota
	// Failed means that the attempt failed because of the upstream.
	Failed
	// Inconclusive means that the attempt ended for a reason that says nothing about
	// the upstream, for example because the caller canceled it.
	Inconclusive
)

// errInconclusive excludes an abandoned attempt from a circuit's counts.
var errInconclusive = errors.WithStack(&fault.CallerGone{})

// Circuits holds a circuit breaker for each upstream. An upstream's entry takes
// about 500 bytes and is never removed. It is safe for concurrent use.
type Circuits struct {
	events *event.Recorder
	// notClosed counts the open and half-open circuits. It is usually 0, and Open
	// then need not iterate over the circuits.
	notClosed atomic.Int64
	circuits  sync.Map
}

// NewCircuits returns circuits that are all closed.
func NewCircuits(events *event.Recorder) *Circuits { return &Circuits{events: events} }

// OpenUpstreams returns the upstreams whose circuit is open. They get no attempts now.
func (c *Circuits) OpenUpstreams() []string {
	if c.notClosed.Load() == 0 {
		return nil
	}
	var names []string
	c.circuits.Range(func(name, circuit any) bool {
		if circuit.(*gobreaker.TwoStepCircuitBreaker[any]).State() == gobreaker.StateOpen {
			names = append(names, name.(string))
		}
		return true
	})
	return names
}

// Allow reports whether an attempt may be sent to an upstream. If so, the caller
// must call done with the outcome of the attempt.
func (c *Circuits) Allow(upstream string) (done func(Outcome), allowed bool) {
	report, err := c.circuit(upstream).Allow()
	if err != nil {
		return nil, false
	}
	return func(o Outcome) {
		switch o {
		case Succeeded:
			report(nil)
		case Failed:
			report(errors.WithStack(&fault.UpstreamFailed{Upstream: upstream}))
		case Inconclusive:
			report(errInconclusive)
		}
	}, true
}

func (c *Circuits) circuit(upstream string) *gobreaker.TwoStepCircuitBreaker[any] {
	if found, ok := c.circuits.Load(upstream); ok {
		return found.(*gobreaker.TwoStepCircuitBreaker[any])
	}
	created := gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:          upstream,
		MaxRequests:   1,
		Timeout:       openTimeout,
		ReadyToTrip:   func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= tripThreshold },
		IsExcluded:    func(err error) bool { return errors.Is(err, errInconclusive) },
		OnStateChange: c.handleStateChange,
	})
	stored, _ := c.circuits.LoadOrStore(upstream, created)
	return stored.(*gobreaker.TwoStepCircuitBreaker[any])
}

func (c *Circuits) handleStateChange(upstream string, from, to gobreaker.State) {
	switch {
	case from == gobreaker.StateClosed:
		c.notClosed.Add(1)
		c.events.Emit(event.CircuitOpened, event.Subject{Upstream: upstream})
	case to == gobreaker.StateClosed:
		c.notClosed.Add(-1)
		c.events.Emit(event.CircuitClosed, event.Subject{Upstream: upstream})
	}
}
