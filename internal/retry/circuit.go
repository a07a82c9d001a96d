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
	// tripAfter consecutive failures open an upstream's circuit.
	tripAfter = 5
	// openTime passes before an open circuit lets one attempt probe.
	openTime = 2 * time.Second
)

// Outcome tells a circuit how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded says that the upstream answered.
	Succeeded Outcome = iota
	// Failed says that the upstream is to blame.
	Failed
	// Abandoned says that the attempt ended for a reason that tells nothing
	// about the upstream, for example a caller that left.
	Abandoned
)

// errAbandoned keeps an abandoned attempt out of a circuit's counts.
var errAbandoned = errors.WithStack(&fault.CallerGone{})

// Circuits holds a circuit for each upstream. An entry costs some 500 bytes and
// stays for the life of the process. It is safe for concurrent use.
type Circuits struct {
	events *event.Recorder
	// open counts the circuits that are not closed, so that the ordinary case
	// looks at none.
	open     atomic.Int64
	circuits sync.Map
}

// NewCircuits returns closed circuits.
func NewCircuits(events *event.Recorder) *Circuits { return &Circuits{events: events} }

// Open returns the upstreams that get no attempt now.
func (c *Circuits) Open() []string {
	if c.open.Load() == 0 {
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

// Allow asks for an attempt at an upstream. If it may run, done must be called
// with its outcome.
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
		case Abandoned:
			report(errAbandoned)
		}
	}, true
}

func (c *Circuits) circuit(upstream string) *gobreaker.TwoStepCircuitBreaker[any] {
	if found, ok := c.circuits.Load(upstream); ok {
		return found.(*gobreaker.TwoStepCircuitBreaker[any])
	}
	fresh := gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:          upstream,
		MaxRequests:   1,
		Timeout:       openTime,
		ReadyToTrip:   func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= tripAfter },
		IsExcluded:    func(err error) bool { return errors.Is(err, errAbandoned) },
		OnStateChange: c.changed,
	})
	kept, _ := c.circuits.LoadOrStore(upstream, fresh)
	return kept.(*gobreaker.TwoStepCircuitBreaker[any])
}

func (c *Circuits) changed(upstream string, from, to gobreaker.State) {
	switch {
	case from == gobreaker.StateClosed:
		c.open.Add(1)
		c.events.Emit(event.CircuitOpened, event.Subject{Upstream: upstream})
	case to == gobreaker.StateClosed:
		c.open.Add(-1)
		c.events.Emit(event.CircuitClosed, event.Subject{Upstream: upstream})
	}
}
