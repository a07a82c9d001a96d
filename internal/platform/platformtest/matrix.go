package platformtest

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Protocol is what a fault matrix is run over.
type Protocol struct {
	Name string
	// Lasts is the length of the faults that last: pauses, outages and late
	// effects.
	Lasts map[Kind]time.Duration
	// Run drives the protocol over the world and returns what did not hold. It
	// is called in a bubble of testing/synctest, once for each case.
	Run func(w *World) error
	// Pairs bounds the pairs that are run, where a run takes long; 0 is maxPairs.
	Pairs int
}

const (
	// repeats is how many repeats of the same call count as steps of their
	// own. Later renewals, polls and retries do the same again.
	repeats = 3
	// maxPairs bounds the pairs that are run; of more, every n-th is.
	maxPairs = 2500
)

// strike is a fault at a step.
type strike struct {
	step Step
	kind Kind
}

// RunMatrix runs the protocol without faults, takes the steps from that run,
// and then runs it with every fault at every step, and with pairs of them.
func RunMatrix(t *testing.T, p Protocol) {
	steps := p.steps(t)
	var singles [][]strike
	for _, step := range steps {
		for _, kind := range Kinds {
			singles = append(singles, []strike{{step: step, kind: kind}})
		}
	}
	most := p.Pairs
	if most == 0 {
		most = maxPairs
	}
	pairs, all := pairsOf(singles, most)
	failed := 0
	for _, strikes := range append(singles, pairs...) {
		if err := p.runCase(t, strikes); err != nil {
			failed++
			t.Errorf("%s with %s: %v", p.Name, describe(strikes), err)
		}
	}
	t.Logf("matrix: %s: %d steps x %d faults, %d single cases and %d of %d pairs run, %d cases failed",
		p.Name, len(steps), len(Kinds), len(singles), len(pairs), all, failed)
}

// steps returns the steps of a run without faults.
func (p Protocol) steps(t *testing.T) []Step {
	var steps []Step
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(NoFaults)
		if err := p.Run(w); err != nil {
			t.Fatalf("%s without faults: %v", p.Name, err)
		}
		steps = w.Steps()
	})
	seen := make(map[Step]int)
	var kept []Step
	for _, step := range steps {
		call := step
		call.Index = 0
		seen[call]++
		if seen[call] <= repeats {
			kept = append(kept, step)
		}
	}
	if len(kept) == 0 {
		t.Fatalf("%s has no steps", p.Name)
	}
	return kept
}

// pairsOf returns at most so many pairs, and how many there are.
func pairsOf(singles [][]strike, most int) (pairs [][]strike, all int) {
	all = len(singles) * (len(singles) - 1) / 2
	every := all/most + 1
	n := 0
	for i, first := range singles {
		for _, second := range singles[i+1:] {
			if n%every == 0 {
				pairs = append(pairs, []strike{first[0], second[0]})
			}
			n++
		}
	}
	return pairs, all
}

func (p Protocol) runCase(t *testing.T, strikes []strike) (err error) {
	synctest.Test(t, func(*testing.T) {
		err = p.Run(NewWorld(p.script(strikes)))
	})
	return err
}

// script strikes each step once: a process that was killed begins anew and
// comes to the step again.
func (p Protocol) script(strikes []strike) Script {
	done := make([]bool, len(strikes))
	return func(step Step) Fault {
		for i, s := range strikes {
			if !done[i] && step.Process == s.step.Process && step.Index == s.step.Index {
				done[i] = true
				return Fault{Kind: s.kind, For: p.Lasts[s.kind]}
			}
		}
		return Fault{}
	}
}

func describe(strikes []strike) string {
	text := ""
	for _, s := range strikes {
		if text != "" {
			text += " and "
		}
		text += s.step.String() + " " + s.kind.String()
	}
	return text
}

// restartPause is how long a killed process is gone.
const restartPause = time.Second

// Supervise runs a process until ctx ends, and starts it again when it was
// killed. run returns when the process's context ends or its work is done.
func (w *World) Supervise(ctx context.Context, group *sync.WaitGroup, name string, run func(p *Process)) {
	group.Go(func() {
		for {
			p := w.Start(ctx, name)
			run(p)
			killed := p.Dead()
			p.Stop()
			if ctx.Err() != nil || !killed {
				return
			}
			time.Sleep(restartPause)
		}
	})
}
