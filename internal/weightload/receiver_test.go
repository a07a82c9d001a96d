package weightload

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/lease/leasetest"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// The engine of spec/receiver.pml: it reads what waits on an accepted connection within
// maxReadAfter of running, and runs for at least minRun after a stop. Stops of at most
// maxCountedGap count as running.
const (
	maxReadAfter = 2 * maxCountedGap
	minRun       = 3 * maxCountedGap
)

// period is a time in which the engine runs, and the stop that follows.
type period struct{ run, stop time.Duration }

// schedule is one play of an engine to which an earlier holder sent an order.
type schedule struct {
	periods []period
	// arrival is when the earlier order arrives at the engine's kernel, and readAfter how
	// long the engine runs from then, or from the acceptance of its connection, until it
	// reads the order.
	arrival, readAfter time.Duration
	// request and reply are the latencies of a call to and from the engine.
	request, reply time.Duration
}

// standingEngine is an engine that stands still according to a schedule. It accepts the
// connection of the earlier order no sooner than it answers the first probe.
type standingEngine struct {
	*fleet
	schedule
	startedAt time.Time
	accepted  time.Duration // 0 until then
}

// stopAt returns the end of the stop at a time, or that time if the engine runs.
func (s schedule) stopAt(at time.Duration) time.Duration {
	var begin time.Duration
	for _, p := range s.periods {
		if at < begin+p.run {
			return at
		}
		if begin += p.run + p.stop; at < begin {
			return begin
		}
	}
	return at
}

// after returns when the engine has run for d since a time.
func (s schedule) after(since, d time.Duration) time.Duration {
	var begin time.Duration
	for _, p := range s.periods {
		end := begin + p.run
		if from := max(since, begin); from < end {
			if d <= end-from {
				return from + d
			}
			d -= end - from
		}
		begin = end + p.stop
	}
	return max(since, begin) + d
}

func (e *standingEngine) elapsed() time.Duration { return time.Since(e.startedAt) }

// call lets a call reach the engine, and handles it when the engine runs.
func (e *standingEngine) call(ctx context.Context, handle func()) error {
	if !wait.For(ctx, e.request) || !wait.For(ctx, e.stopAt(e.elapsed())-e.elapsed()) {
		return ctx.Err()
	}
	handle()
	if !wait.For(ctx, e.reply) {
		return ctx.Err()
	}
	return nil
}

func (e *standingEngine) Report(ctx context.Context, entry *target.Entry) (Report, error) {
	if err := e.call(ctx, func() {}); err != nil {
		return Report{}, err
	}
	return e.fleet.Report(ctx, entry)
}

func (e *standingEngine) Probe(ctx context.Context, _ *target.Entry) error {
	return e.call(ctx, func() {
		if e.accepted == 0 {
			e.accepted = e.elapsed()
		}
	})
}

// firstProbeAt is when the next holder begins to probe the engine. The last bytes of an earlier
// holder have arrived by then; see Loader.serveTerm.
const firstProbeAt = 3 * time.Second

// play returns when the engine reads the earlier order and when it is settled, or 0 if it is
// not. From then on the next holder may order.
func play(t *testing.T, s schedule) (read, settled time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		l, engines := newObservedLoader(1, noLatency)
		engine := &standingEngine{fleet: engines.fleet, schedule: s, startedAt: time.Now()}
		l.Engines = engine
		entry := l.Roster.Usable("lm", time.Now())[0]
		time.Sleep(firstProbeAt)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		settler := newSettler(l, leasetest.Held(2))
		for settler.settle(ctx, entry); ctx.Err() == nil && !settler.allowsOrders(entry); settler.settle(ctx, entry) {
			wait.For(ctx, suspectBackoff)
		}
		if settler.allowsOrders(entry) {
			settled = engine.elapsed()
		}
		if engine.accepted == 0 {
			engine.accepted = engine.elapsed()
		}
		read = s.after(max(s.arrival, engine.accepted), s.readAfter)
	})
	return read, settled
}

func genSchedule() gopter.Gen {
	between := func(least, most time.Duration) gopter.Gen { return gen.Int64Range(int64(least), int64(most)) }
	// Short periods are the hardest: most of their time is counted although the engine stands
	// still.
	stop := gen.OneGenOf(between(maxCountedGap, 3*maxCountedGap), between(maxCountedGap, 2*time.Second))
	run := gen.OneGenOf(between(minRun, minRun+maxCountedGap/2), between(minRun, 2*time.Second))
	return gopter.CombineGens(
		gen.SliceOfN(40, gopter.CombineGens(run, stop).Map(func(drawn []any) period {
			return period{time.Duration(drawn[0].(int64)), time.Duration(drawn[1].(int64))}
		})),
		between(0, firstProbeAt),
		gen.OneGenOf(gen.Const(int64(maxReadAfter)), between(0, maxReadAfter)),
		gen.OneGenOf(gen.Const(int64(0)), between(0, 2*probeInterval)), gen.OneGenOf(gen.Const(int64(0)), between(0, 2*probeInterval)),
	).Map(func(drawn []any) schedule {
		return schedule{
			periods: drawn[0].([]period), arrival: time.Duration(drawn[1].(int64)), readAfter: time.Duration(drawn[2].(int64)),
			request: time.Duration(drawn[3].(int64)), reply: time.Duration(drawn[4].(int64)),
		}
	})
}

// Guards against an order of a new holder to an engine that has not read an earlier order yet.
func TestSettledEngineHasReadEarlierOrders(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	plays, settledPlays := 0, 0
	properties.Property("read before the engine is settled", prop.ForAllNoShrink(func(s schedule) bool {
		read, settled := play(t, s)
		plays++
		if settled > 0 {
			settledPlays++
		}
		return settled == 0 || read <= settled
	}, genSchedule()))
	properties.TestingRun(t)
	if settledPlays < plays/2 {
		t.Errorf("the engine settled in %d of %d plays, want most", settledPlays, plays)
	}
}
