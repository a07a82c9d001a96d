package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/platformapi"
)

// candidate is an upstream of a pool with the data that pick needs.
type candidate struct {
	upstream platformapi.Upstream
	// free is how many more requests this VM may send there now.
	free int
	// hasQuota marks an upstream where this VM has a quota; slots of others are borrowed.
	hasQuota bool
	// sameDomain marks an upstream of this VM's failure domain.
	sameDomain bool
	// probe marks an ejected upstream whose next request decides whether it returns to
	// rotation.
	probe bool
	// load is the expected number of requests per slot there.
	load float64
	// version is the weight version that the engine reports, or 0 without a fresh
	// report.
	version int64
}

// pick chooses among the candidates that accept the work and have free slots, and
// returns the index of the chosen one, or -1 if there is none. It prefers slots of the
// VM's quota to borrowed ones, and then the VM's own failure domain. Work with an
// affinity goes to the candidate that ranks highest for it: requests with a shared
// prefix meet on one engine as long as the VM's quota there lasts, and then all on the
// same next engine. Other work goes to the less loaded of two random candidates. Always
// choosing the least loaded would send all VMs to the same engine while its report lags.
func pick(candidates []candidate, work Work, accepts func(candidate) bool) int {
	var eligible []int
	for i, c := range candidates {
		if c.free > 0 && accepts(c) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return -1
	}
	eligible = preferredClass(candidates, eligible)
	if work.Affinity != 0 {
		return slices.MaxFunc(eligible, func(a, b int) int {
			return cmp.Compare(rendezvous(work.Affinity, candidates[a].upstream.ID), rendezvous(work.Affinity, candidates[b].upstream.ID))
		})
	}
	a := eligible[rand.IntN(len(eligible))]
	b := eligible[rand.IntN(len(eligible))]
	if candidates[b].load < candidates[a].load {
		return b
	}
	return a
}

// preferredClass returns the eligible candidates of the most preferred class.
func preferredClass(candidates []candidate, eligible []int) []int {
	class := func(i int) int {
		c := candidates[i]
		switch {
		case c.hasQuota && c.sameDomain:
			return 0
		case c.hasQuota:
			return 1
		case c.sameDomain:
			return 2
		default:
			return 3
		}
	}
	best := class(eligible[0])
	for _, i := range eligible {
		best = min(best, class(i))
	}
	return slices.DeleteFunc(eligible, func(i int) bool { return class(i) != best })
}

// rendezvous returns the rank of a name for a key by rendezvous hashing.
func rendezvous(key uint64, name string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// isTopRanked reports whether a VM is among the n members that rank highest for an
// engine. Every VM computes the same ones.
func isTopRanked(engine, vm string, members []Member, n int) bool {
	own := engineRank(engine, vm)
	higher := 0
	for _, m := range members {
		if m.VM != vm && engineRank(engine, m.VM) > own {
			higher++
			if higher >= n {
				return false
			}
		}
	}
	return true
}

// engineRank returns the rank of a VM for an engine.
func engineRank(engine, vm string) uint64 { return rendezvous(xxhash.Sum64String(engine), vm) }
