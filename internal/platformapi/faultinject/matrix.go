package faultinject

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Protocol is a protocol that RunMatrix tests under faults.
type Protocol struct {
	Name string
	// Durations gives the duration of each kind of fault that has one: pauses,
	// outages, network failures and delayed effects.
	Durations map[Kind]time.Duration
	// Run runs the protocol on the cluster, and returns an error if the protocol
	// broke a guarantee. It is called once for each case, in a bubble of
	// testing/synctest.
	Run func(cluster *Cluster) error
	// MaxPairs limits the pairs of faults for protocols whose runs take long; 0
	// means defaultMaxPairs.
	MaxPairs int
}

const (
	// maxRepeats limits how often the same call of a process is a step of the
	// matrix. Further renewals, polls and retries only repeat the first ones.
	maxRepeats = 3
	// defaultMaxPairs limits the pairs of faults that are run. If there are more,
	// every n-th pair is run.
	defaultMaxPairs = 2500
)

// injection is a kind of fault at a step.
type injection struct {
	step Step
	kind Kind
}

// RunMatrix runs the protocol without faults and records the steps of that run. Then
// it runs the protocol with every fault at every step, and with pairs of these.
func RunMatrix(t *testing.T, p Protocol) {
	steps := p.steps(t)
	var singles [][]injection
	for _, step := range steps {
		for _, kind := range Kinds {
			singles = append(singles, []injection{{step: step, kind: kind}})
		}
	}
	limit := p.MaxPairs
	if limit == 0 {
		limit = defaultMaxPairs
	}
	pairs, total := selectPairs(singles, limit)
	failed := 0
	for _, injections := range append(singles, pairs...) {
		if err := p.runCase(t, injections); err != nil {
			failed++
			t.Errorf("%s with %s: %v", p.Name, describe(injections), err)
		}
	}
	t.Logf("matrix: %s: %d steps x %d faults, %d single cases and %d of %d pairs run, %d cases failed",
		p.Name, len(steps), len(Kinds), len(singles), len(pairs), total, failed)
}

// steps returns the steps of a run without faults, the same call of a process at
// most maxRepeats times.
func (p Protocol) steps(t *testing.T) []Step {
	var steps []Step
	synctest.Test(t, func(t *testing.T) {
		cluster := NewCluster(NoFaults)
		if err := p.Run(cluster); err != nil {
			t.Fatalf("%s without faults: %v", p.Name, err)
		}
		steps = cluster.Steps()
	})
	seen := make(map[Step]int)
	var selected []Step
	for _, step := range steps {
		call := step
		call.Index = 0
		seen[call]++
		if seen[call] <= maxRepeats {
			selected = append(selected, step)
		}
	}
	if len(selected) == 0 {
		t.Fatalf("%s has no steps", p.Name)
	}
	return selected
}

// selectPairs returns at most limit pairs of the single cases, spread evenly over
// all pairs, and the number of all pairs.
func selectPairs(singles [][]injection, limit int) (pairs [][]injection, total int) {
	total = len(singles) * (len(singles) - 1) / 2
	stride := total/limit + 1
	n := 0
	for i, first := range singles {
		for _, second := range singles[i+1:] {
			if n%stride == 0 {
				pairs = append(pairs, []injection{first[0], second[0]})
			}
			n++
		}
	}
	return pairs, total
}

func (p Protocol) runCase(t *testing.T, injections []injection) (err error) {
	synctest.Test(t, func(*testing.T) {
		err = p.Run(NewCluster(p.script(injections)))
	})
	return err
}

// script returns a script that injects each fault once. A killed process counts its
// steps from 0 again after its restart, and so reaches the same step again.
func (p Protocol) script(injections []injection) Script {
	injected := make([]bool, len(injections))
	return func(step Step) Fault {
		for i, inj := range injections {
			if !injected[i] && step.Process == inj.step.Process && step.Index == inj.step.Index {
				injected[i] = true
				return Fault{Kind: inj.kind, Duration: p.Durations[inj.kind]}
			}
		}
		return Fault{}
	}
}

func describe(injections []injection) string {
	text := ""
	for _, inj := range injections {
		if text != "" {
			text += " and "
		}
		text += inj.step.String() + " " + inj.kind.String()
	}
	return text
}

// restartDelay is the time between the kill of a process and its restart.
const restartDelay = time.Second

// Supervise runs a process in the background until ctx ends, and restarts it after
// it was killed. run must return when the context of the process ends; if it returns
// without a kill, the process is not restarted. group waits for the process.
func (c *Cluster) Supervise(ctx context.Context, group *sync.WaitGroup, name string, run func(p *Process)) {
	group.Go(func() {
		for {
			p := c.Start(ctx, name)
			run(p)
			killed := p.Killed()
			p.Stop()
			if ctx.Err() != nil || !killed {
				return
			}
			time.Sleep(restartDelay)
		}
	})
}
