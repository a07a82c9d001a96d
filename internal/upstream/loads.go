package upstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/platformapi"
)

// Report is an engine's load report and when it came.
type Report struct {
	engine.Load
	At time.Time
	// Misses counts the asks in a row that got no answer.
	Misses int
}

// trustTime is the time over which a report loses two thirds of its weight.
const trustTime = 2 * time.Second

// Weight returns how much a report still says at a time, from 1 down to 0.
func (r Report) Weight(now time.Time) float64 {
	age := now.Sub(r.At)
	if r.At.IsZero() || age < 0 {
		return 0
	}
	return float64(trustTime) / float64(trustTime+2*age)
}

// Loads keeps the latest load reports. It is safe for concurrent use; readers
// take no lock.
type Loads struct {
	reports sync.Map
}

// NewLoads returns an empty book of reports.
func NewLoads() *Loads { return &Loads{} }

// Get returns the latest report of an upstream, if any.
func (l *Loads) Get(id string) (Report, bool) {
	value, ok := l.reports.Load(id)
	if !ok {
		return Report{}, false
	}
	return value.(Report), true
}

// Set keeps a report.
func (l *Loads) Set(id string, r Report) { l.reports.Store(id, r) }

// missed counts an ask without an answer; the last report stays and ages.
func (l *Loads) missed(id string) {
	r, _ := l.Get(id)
	r.Misses++
	l.Set(id, r)
}

// Keep forgets all upstreams but those named.
func (l *Loads) Keep(ids map[string]bool) {
	l.reports.Range(func(key, _ any) bool {
		if !ids[key.(string)] {
			l.reports.Delete(key)
		}
		return true
	})
}

// LoadReader asks an engine for its load.
type LoadReader interface {
	LoadReport(ctx context.Context, address string) (engine.Load, error)
}

// Poller keeps the reports of the watched engines current.
type Poller struct {
	reader LoadReader
	loads  *Loads
	period time.Duration
	// watched returns the engines that this VM may send work to. It is few
	// however large the fleet is.
	watched func() []platformapi.Upstream
}

// NewPoller returns a poller that asks each watched engine once a period.
func NewPoller(reader LoadReader, loads *Loads, period time.Duration, watched func() []platformapi.Upstream) *Poller {
	return &Poller{reader: reader, loads: loads, period: period, watched: watched}
}

// Run polls until ctx ends. The asks of one round are spread over the period.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	var asks sync.WaitGroup
	defer asks.Wait()
	for {
		for _, u := range p.watched() {
			asks.Go(func() { p.ask(ctx, u) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) ask(ctx context.Context, u platformapi.Upstream) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(p.period)):
	}
	load, err := p.reader.LoadReport(ctx, u.Address)
	if err != nil {
		p.loads.missed(u.ID)
		return
	}
	p.loads.Set(u.ID, Report{Load: load, At: time.Now()})
}
