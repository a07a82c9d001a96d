package step

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/member"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
	"dogwoodpond/internal/target"
)

const (
	// matrixItems is the number of submitted items.
	matrixItems = 6
	// lateEffectDelay is the delay of a late effect.
	lateEffectDelay = 5 * time.Second
	// faultDuration is the duration of other faults: longer than it takes until an
	// unresponsive VM is no longer considered alive.
	faultDuration = 4 * time.Second
	// operationTimeout is the timeout of the submission, the reading and the end of the step,
	// long enough for a case with two faults.
	operationTimeout = 60 * time.Second
)

// matrixCase is one case of the fault matrix: a trainer, one step, and VMs with injected
// faults.
type matrixCase struct {
	rows    *memory.Store
	engines *fakeEngines
	scorer  *fakeScorer

	mu  sync.Mutex
	vms map[string]*Manager
}

// newVM returns the manager of a new incarnation of a VM and starts its member list.
func (c *matrixCase) newVM(ctx context.Context, name, incarnation string, store interface {
	rowstore.Store
	rowstore.Clock
}) *Manager {
	events := event.NewRecorder(name, 16, event.NewClock(time.Now), zap.NewNop())
	roster := target.NewRoster(events)
	roster.Replace([]target.Instance{
		{ID: "e1", Service: "lm", Address: "e1", FailureDomain: "x", Slots: 2, Versions: map[string]int64{"m": 1}},
		{ID: "j1", Service: "judge", Address: "j1", FailureDomain: "x", Slots: 4},
		{ID: "e2", Service: "lm", Address: "e2", FailureDomain: "x", Slots: 2, Versions: map[string]int64{"m": 1}},
	})
	view := route.NewView()
	view.StoreIfNewer(configuration(1, true))
	list := member.New(member.VM{ID: name, FailureDomain: "x", Incarnation: incarnation}, []string{"x"}, store, func() bool { return false }, budget.New(budget.Rates{}), events)
	m := NewManager(Config{
		CallBudget: budget.New(budget.Rates{}),
		VM:         name, Incarnation: incarnation, Domain: "x", Store: store, Clock: store, Members: list, View: view, Roster: roster,
		Engines: runningEngines{c.engines}, Transport: c.engines, Scorer: c.scorer, Events: events, Retention: time.Hour,
		AnnouncedVersion: func(string) (int64, bool) { return 1, true },
		PreferredOwner:   func(string, route.Residency) (Process, bool) { return Process{}, false },
		StoreAvailable:   func() bool { return true },

		ReadConfiguration: func(context.Context) error { return nil },
	})
	c.mu.Lock()
	c.vms[name] = m
	c.mu.Unlock()
	go list.Run(ctx)
	return m
}

func (c *matrixCase) vm(name string) *Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name]
}

// submit submits the step to one VM after the other until one accepts it.
func (c *matrixCase) submit() error {
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, name := range []string{"vm-a", "vm-b", "vm-c"} {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := c.vm(name).Submit(ctx, spec("s"), scoredItems(matrixItems))
			cancel()
			if err == nil {
				return nil
			}
			if _, accepted := c.state(); accepted && fault.ExecutionOf(err) == fault.NotRun {
				return errors.Newf("%s reports that the step was not stored, but it was", name)
			}
		}
	}
	return errors.New("no VM accepted the step")
}

// state returns the step's state row from the store, bypassing the faults.
func (c *matrixCase) state() (stateRecord, bool) {
	r, err := readState(context.Background(), c.rows, "s")
	return r, err == nil
}

// readUntilComplete reads the step from the VMs in rotation until it is complete. A result
// that one VM has returned at a position must be the same at every VM.
func (c *matrixCase) readUntilComplete() ([]Result, error) {
	var read []Result
	rotation := []string{"vm-b", "vm-a", "vm-c"}
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		rotation = append(rotation[1:], rotation[0])
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		results, total, err := c.vm(rotation[0]).Results(ctx, "s", "acc", 0, 0)
		cancel()
		if fault.Is[*fault.StepUnknown](err) {
			return nil, errors.Newf("%s does not know the step after it was accepted", rotation[0])
		}
		if err != nil {
			continue
		}
		for i := range min(len(read), len(results)) {
			if !reflect.DeepEqual(read[i], results[i]) {
				return nil, errors.Newf("position %d is %+v at %s, but was read before as %+v", i, results[i], rotation[0], read[i])
			}
		}
		if len(results) > len(read) {
			read = slices.Clone(results)
		}
		if len(read) == total {
			return read, nil
		}
	}
	return nil, errors.Newf("got %d of %d results in %s", len(read), matrixItems, operationTimeout)
}

// checkComplete checks that each item is committed at most once, with its complete text and
// its own score.
func checkComplete(results []Result) error {
	seen := map[string]bool{}
	for _, r := range results {
		want := strings.Join([]string{r.Item + "-1", r.Item + "-2", r.Item + "-3"}, "\n")
		if seen[r.Item] || r.Outcome != Completed || r.Text != want || r.Score != "score of call-"+r.Item {
			return errors.Newf("item %s is committed as %+v, seen before: %t", r.Item, r, seen[r.Item])
		}
		seen[r.Item] = true
	}
	return nil
}

// end ends the step and checks that none of its items runs some time later.
func (c *matrixCase) end() error {
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := c.vm("vm-b").End(ctx, "s", "acc")
		cancel()
		if err != nil {
			continue
		}
		time.Sleep(2 * faultDuration)
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		if c.engines.active > 0 {
			return errors.Newf("%d items still run after the end of the step", c.engines.active)
		}
		return nil
	}
	return errors.New("no attempt to end the step succeeded")
}

// unevenReply gives each attempt a different duration, so that two owners of a step commit its
// results in different batches.
func unevenReply(item string, n int) reply {
	r := goodReply
	r.gap = time.Duration(100+70*((int(item[1])+3*n)%5)) * time.Millisecond
	return r
}

// unevenScore delays each score call and fails the first call of some items, so that
// faults occur between a complete text and its score.
func unevenScore(ctx context.Context, item string, n int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(60+50*((int(item[1])+2*n)%4)) * time.Millisecond):
	}
	if n == 1 && item[1]%3 == 0 {
		return errors.New("no answer")
	}
	return nil
}

// runMatrixCase runs one case to its end. Faults are injected at vm-a and vm-b, but not at
// vm-c.
func runMatrixCase(cluster *faultinject.Cluster) error {
	c := &matrixCase{rows: memory.New(), vms: map[string]*Manager{}, engines: &fakeEngines{
		behave: map[string]behaviour{"": unevenReply}, attempts: map[string][]string{}, finished: map[string]int{},
	}}
	c.scorer = &fakeScorer{engines: c.engines, calls: map[string]int{}, behave: unevenScore}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, name := range []string{"vm-a", "vm-b"} {
		incarnations := 0
		cluster.Supervise(ctx, &group, name, func(p *faultinject.Process) {
			incarnations++
			c.newVM(p.Context, name, fmt.Sprintf("%s/%d", name, incarnations), p.OpenStore(c.rows)).Run(p.Context)
		})
	}
	group.Go(func() { c.newVM(ctx, "vm-c", "vm-c/1", c.rows).Run(ctx) })
	defer func() {
		stop()
		group.Wait()
		// Late effects must have happened before the synctest bubble ends.
		time.Sleep(2 * lateEffectDelay)
	}()
	time.Sleep(2 * time.Second)
	if err := c.submit(); err != nil {
		return err
	}
	results, err := c.readUntilComplete()
	if err == nil {
		err = checkComplete(results)
	}
	if err == nil && len(c.scorer.earlyCalls) > 0 {
		err = errors.Newf("score calls were made before the texts of %v were complete", c.scorer.earlyCalls)
	}
	if err == nil {
		err = c.end()
	}
	return err
}

// Fault matrix: a step is submitted, run, read and ended while each fault is injected at
// each call of two VMs to the store, alone and in pairs. It guards against samples that
// are lost, duplicated or changed, and against a step that no VM runs.
func TestMatrixSteps(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name: "steps on the partitioned store",
		Durations: map[faultinject.Kind]time.Duration{
			faultinject.DelayEffect: lateEffectDelay,
			faultinject.PauseBefore: faultDuration, faultinject.PauseAfter: faultDuration,
			faultinject.StoreDown: faultDuration, faultinject.CutOff: faultDuration,
		},
		Run: runMatrixCase,
	})
}
