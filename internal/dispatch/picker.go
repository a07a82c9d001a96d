package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/platform"
)

// candidate is an upstream of a pool with what the picker knows of it.
type candidate struct {
	upstream platform.Upstream
	// room is how many more requests this VM may send there now.
	room int
	// own marks an upstream of the VM's own part; others are borrowed.
	own bool
	// near marks an upstream of the own failure domain.
	near bool
	// probe marks an upstream whose next request decides about its return.
	probe bool
	// load is the expected number of requests for each slot there.
	load float64
	// version is the weight version that the engine reports, or 0 while there is
	// no fresh report.
	version int64
}

// pick chooses among the candidates that accept the work and have room: own
// parts before borrowed places, near before far. Work with an affinity goes to
// the first with room in the order of its rendezvous hash, so that requests
// with a shared prefix meet on one engine as long as its part lasts, and the
// next engine after that is the same for all of them. Other work goes to the
// less loaded of two at random: taking always the least loaded would send all
// VMs to the same engine as long as its report lags. It returns -1 for none.
func pick(candidates []candidate, work Work, accepts func(candidate) bool) int {
	var open []int
	for i, c := range candidates {
		if c.room > 0 && accepts(c) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	open = nearest(candidates, open)
	if work.Affinity != 0 {
		return slices.MaxFunc(open, func(a, b int) int {
			return cmp.Compare(rendezvous(work.Affinity, candidates[a].upstream.ID), rendezvous(work.Affinity, candidates[b].upstream.ID))
		})
	}
	a := open[rand.IntN(len(open))]
	b := open[rand.IntN(len(open))]
	if candidates[b].load < candidates[a].load {
		return b
	}
	return a
}

// nearest keeps the best class of the open candidates.
func nearest(candidates []candidate, open []int) []int {
	class := func(i int) int {
		c := candidates[i]
		switch {
		case c.own && c.near:
			return 0
		case c.own:
			return 1
		case c.near:
			return 2
		default:
			return 3
		}
	}
	best := class(open[0])
	for _, i := range open {
		best = min(best, class(i))
	}
	return slices.DeleteFunc(open, func(i int) bool { return class(i) != best })
}

// rendezvous returns the weight of a name for a key.
func rendezvous(key uint64, name string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// lends reports whether an engine lends places to a VM: each engine lends to a
// few VMs only, the same whoever computes it, so that a fleet that sees one
// idle engine can't overrun it.
func lends(engine, vm string, members []Member, borrowers int) bool {
	own := borrowWeight(engine, vm)
	before := 0
	for _, m := range members {
		if m.VM != vm && borrowWeight(engine, m.VM) > own {
			before++
			if before >= borrowers {
				return false
			}
		}
	}
	return true
}

func borrowWeight(engine, vm string) uint64 { return rendezvous(xxhash.Sum64String(engine), vm) }
