package step

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
	"dogwoodpond/internal/wait"
)

// runWithFaults plays the seed with commits that fail in any way, stopped runs, handovers, and
// restarts during which the earlier process of a VM may go on for a while.
func (p *outagePlay) runWithFaults(ctx context.Context) {
	kinds := []memory.Fault{memory.NoFault, memory.AnswerLost, memory.EffectDelayed, memory.Refused, memory.RequestLost, memory.StorageFull}
	var mu sync.Mutex
	calls, faulty := 0, true
	p.cluster.store.SetFault(func(txn rowstore.Txn) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if !faulty || len(txn.Puts) == 0 || p.chance(5, "commit?", calls) > 2 {
			return memory.NoFault
		}
		return kinds[p.chance(len(kinds), "commit", calls)]
	})
	var tasks sync.WaitGroup
	live := map[string]*testVM{}
	cancels := map[string]context.CancelFunc{}
	incarnations := map[string]int{}
	startVM := func(name string) {
		incarnations[name]++
		v := p.cluster.startIncarnation(name, name+"-"+strconv.Itoa(incarnations[name]))
		vmCtx, cancel := context.WithCancel(ctx)
		live[name], cancels[name] = v, cancel
		readEach := p.between(10*time.Millisecond, 60*time.Millisecond)
		tasks.Go(func() { p.read(vmCtx, v, readEach) })
	}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		startVM(name)
		v := live[name]
		after := p.between(0, 3*time.Second)
		tasks.Go(func() { p.submit(ctx, v, after) })
	}
	if p.random.IntN(2) == 0 {
		outage := p.between(500*time.Millisecond, 4*time.Second)
		tasks.Go(func() {
			p.cluster.store.SetDown(true)
			wait.For(ctx, outage)
			p.cluster.store.SetDown(false)
		})
	}
	for range 14 {
		wait.For(ctx, p.between(0, 700*time.Millisecond))
		name := names[p.random.IntN(3)]
		v := live[name]
		switch p.random.IntN(8) {
		case 0, 1, 2:
			p.cluster.store.RunDelayed()
		case 3, 4:
			if r := v.runOf("s"); r != nil && r.accepted() {
				v.stop(r)
			}
		case 5:
			old, cancel := v, cancels[name]
			startVM(name)
			later := p.between(0, time.Second)
			tasks.Go(func() { wait.For(ctx, later); cancel(); old.kill() })
		case 6:
			leaveCtx, done := context.WithTimeout(ctx, p.between(50*time.Millisecond, time.Second))
			v.Leave(leaveCtx)
			done()
			cancels[name]()
			v.kill()
			startVM(name)
		case 7:
			cancels[name]()
			v.kill()
			startVM(name)
		}
	}
	mu.Lock()
	faulty = false
	mu.Unlock()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline) && p.distinct() < outageItems; {
		wait.For(ctx, 100*time.Millisecond)
	}
	p.cluster.store.RunDelayed()
	wait.For(ctx, 3*time.Second)
	for _, name := range names {
		results, _, err := live[name].Results(ctx, "s", "acc", 0, 0)
		p.note(name, results)
		if err != nil || len(results) != outageItems {
			p.fail("%s has %d results at the end, %v", name, len(results), err)
		}
		cancels[name]()
	}
	tasks.Wait()
	p.checkRows(ctx)
}

// Guards against results that are listed twice, changed or lost when commits fail, runs stop and VMs
// leave or restart.
func TestResultsUnderFaultsAndRestarts(t *testing.T) {
	// The last three list results twice if two runs commit under one state row and a commit expects
	// only the absence of its own rows.
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 56, 172, 356} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newOutagePlay(t, seed)
				p.cluster.storeOf = nil
				p.runWithFaults(t.Context())
				for _, failure := range p.failures {
					t.Errorf("seed %d: %s", seed, failure)
				}
			})
		})
	}
}
