package step

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
)

// silentConnections is a transport on which the first answers to each item go silent: the engine executes the item
// to its end, and the connection stays open. It implements suspicion.EngineReports too.
type silentConnections struct {
	engines *fakeEngines
	// events is the number of events that arrive before the silence; 0 if not even the head arrives.
	events int
	// rounds is the number of silent answers to each item.
	rounds int
	// runTime is how long an engine runs an item whose answer is silent. unreportedFor is how long from the start on
	// engines give no report, and partial is true if their reports don't list all runs.
	runTime, unreportedFor time.Duration
	partial                bool
	startedAt              time.Time

	mu       sync.Mutex
	attempts map[string]int
	// runUntil holds when the engines' silent runs end, by engine and item.
	runUntil map[target.Incarnation]map[string]time.Time
}

// Call implements target.Transport.
func (s *silentConnections) Call(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	if !s.beginSilent(entry.Incarnation(), request.ID) {
		return s.engines.Call(ctx, entry, request)
	}
	if s.events == 0 {
		<-ctx.Done()
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: entry.Info().ID}), fault.Unknown)
	}
	body, out := io.Pipe()
	go func() {
		from, _ := strconv.Atoi(request.LastEventID)
		for n := from + 1; n <= min(from+s.events, goodReply.events); n++ {
			_, _ = io.WriteString(out, eventText(request.ID, n, ""))
		}
		<-ctx.Done()
		_ = out.CloseWithError(ctx.Err())
	}()
	return &target.Response{Status: http.StatusOK, Version: 1, VersionField: "v", Body: body}, nil
}

// beginSilent reports whether the answer to an attempt goes silent, and records its run if it does.
func (s *silentConnections) beginSilent(engine target.Incarnation, item string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[item]++
	if s.attempts[item] > s.rounds {
		return false
	}
	if s.runUntil[engine] == nil {
		s.runUntil[engine] = map[string]time.Time{}
	}
	s.runUntil[engine][item] = time.Now().Add(s.runTime)
	return true
}

// RunReport implements suspicion.EngineReports.
func (s *silentConnections) RunReport(_ context.Context, e *target.Entry) (suspicion.RunReport, error) {
	if time.Since(s.startedAt) < s.unreportedFor {
		return suspicion.RunReport{}, errors.New("no report")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := suspicion.RunReport{Started: e.Info().Started, Complete: !s.partial}
	for item, until := range s.runUntil[e.Incarnation()] {
		if time.Now().Before(until) {
			report.Runs = append(report.Runs, item)
		}
	}
	return report, nil
}

// Guards against steps that hang once the connections of all their attempts are silent and each item waits for a slot
// that another one holds.
func TestItemsAreTriedAgainOnceAllConnectionsAreSilent(t *testing.T) {
	for _, play := range []struct {
		name        string
		connections *silentConnections
		within      time.Duration
	}{
		{"before the first byte", &silentConnections{rounds: 1}, 3 * time.Second},
		{"between two events", &silentConnections{rounds: 1, events: 1}, 3 * time.Second},
		{"after the last event", &silentConnections{rounds: 1, events: goodReply.events}, 3 * time.Second},
		{"a second time while items are tried again", &silentConnections{rounds: 2, events: 1}, 6 * time.Second},
		{"while the engines run the items", &silentConnections{rounds: 1, events: 1, runTime: 2 * time.Second}, 5 * time.Second},
		{"while the engines run the items for ever", &silentConnections{rounds: 1, events: 1, runTime: time.Hour}, 14 * time.Second},
		{"at engines that can't be asked either", &silentConnections{rounds: 1, events: 1, unreportedFor: 5 * time.Second}, 9 * time.Second},
		{"at engines that don't list all runs", &silentConnections{rounds: 1, events: 1, partial: true}, 12 * time.Second},
	} {
		t.Run(play.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cl := newCluster(t, "e1", "e2")
				silent := play.connections
				silent.engines, silent.startedAt = cl.engines, time.Now()
				silent.attempts, silent.runUntil = map[string]int{}, map[target.Incarnation]map[string]time.Time{}
				cl.transportOf = func(string, string) target.Transport { return silent }
				cl.reports = silent
				a := cl.start("a")
				submit(t, a, spec("s"), items(12))
				time.Sleep(time.Second)
				later := items(2)
				for i := range later {
					later[i].ID = "later-" + later[i].ID
				}
				submit(t, a, spec("later"), later)
				time.Sleep(play.within)
				for id, want := range map[string]int{"s": 12, "later": 2} {
					results, _, err := a.Results(t.Context(), id, "acc", 0, 0)
					if err != nil || len(results) != want {
						t.Errorf("step %s has %d results of %d, %v", id, len(results), want, err)
					}
					checkTexts(t, results, goodReply.events)
				}
			})
		})
	}
}
