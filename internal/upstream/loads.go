package upstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/platformapi"
)

// Report is an engine's load report and the time when it was received.
type Report struct {
	engine.Load
	At time.Time
	// MissedPolls counts consecutive polls that failed.
	MissedPolls int
	// polledAt is when the poll began that the report answered.
	polledAt time.Time
}

// confidenceDecayTime is the age at which the confidence in a report has fallen to a third.
const confidenceDecayTime = 2 * time.Second

// Confidence returns the factor, from 1 down to 0, with which a report of this age is to be
// taken into account. It is 0 if the engine has not reported yet, or if the time of the
// report is in the future after a jump of the clock.
func (r Report) Confidence(now time.Time) float64 {
	age := now.Sub(r.At)
	if r.At.IsZero() || age < 0 {
		return 0
	}
	return float64(confidenceDecayTime) / float64(confidenceDecayTime+2*age)
}

// Loads holds the latest load report of each engine. It is safe for concurrent use;
// readers take no lock.
type Loads struct {
	// mu serializes the outcomes of polls.
	mu      sync.Mutex
	reports sync.Map
}

// NewLoads returns a Loads without reports.
func NewLoads() *Loads { return &Loads{} }

// Get returns the latest report of an upstream, if any.
func (l *Loads) Get(id string) (Report, bool) {
	value, ok := l.reports.Load(id)
	if !ok {
		return Report{}, false
	}
	return value.(Report), true
}

// Set stores a report.
func (l *Loads) Set(id string, r Report) { l.reports.Store(id, r) }

// noteAnswer records the answer to the poll that began at polledAt, unless a later poll was
// answered already.
func (l *Loads) noteAnswer(id string, load engine.Load, polledAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, _ := l.Get(id); !polledAt.Before(r.polledAt) {
		l.Set(id, Report{Load: load, At: time.Now(), polledAt: polledAt})
	}
}

// noteMiss counts the failed poll that began at polledAt, unless a later poll was answered
// already. The latest report and its time do not change.
func (l *Loads) noteMiss(id string, polledAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, _ := l.Get(id); !polledAt.Before(r.polledAt) {
		r.MissedPolls++
		l.Set(id, r)
	}
}

// Retain removes the reports of all upstreams that are not in ids.
func (l *Loads) Retain(ids map[string]bool) {
	l.reports.Range(func(key, _ any) bool {
		if !ids[key.(string)] {
			l.reports.Delete(key)
		}
		return true
	})
}

// LoadReader reads the load report of an engine.
type LoadReader interface {
	LoadReport(ctx context.Context, address string) (engine.Load, error)
}

// Poller polls the load reports of engines.
type Poller struct {
	reader   LoadReader
	loads    *Loads
	interval time.Duration
	// engines returns the engines to poll, which are those to which this VM may send
	// requests. Their number does not grow with the fleet.
	engines func() []platformapi.Upstream
}

// NewPoller returns a poller that polls each engine once per interval.
func NewPoller(reader LoadReader, loads *Loads, interval time.Duration, engines func() []platformapi.Upstream) *Poller {
	return &Poller{reader: reader, loads: loads, interval: interval, engines: engines}
}

// Run polls until ctx ends. The polls of one round are spread randomly over the interval.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		for _, u := range p.engines() {
			polls.Go(func() { p.poll(ctx, u) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) poll(ctx context.Context, u platformapi.Upstream) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(p.interval)):
	}
	polledAt := time.Now()
	load, err := p.reader.LoadReport(ctx, u.Address)
	if err != nil {
		p.loads.noteMiss(u.ID, polledAt)
		return
	}
	p.loads.noteAnswer(u.ID, load, polledAt)
}
