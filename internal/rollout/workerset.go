package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialWorkerLimit is the initial limit on an owner's concurrent attempts
	// at a worker, and maxWorkerLimit the highest.
	initialWorkerLimit = 16
	maxWorkerLimit     = 128
	// workersPerDomain is how many workers of one failure domain an owner uses.
	workersPerDomain = 3
	// workerBackoff is how long an owner starts no attempts at a worker that
	// did not answer. It is also the minimum backoff after a refusal.
	workerBackoff = time.Second
)

// workerState is an owner's state for one worker. The limit on concurrent
// attempts grows by one for each full round of successes and halves when the
// worker is full or does not answer, so that owners share the engines without
// coordination.
type workerState struct {
	info     Worker
	limit    float64
	inFlight int
	// backoffUntil is the end of the backoff after a failure.
	backoffUntil time.Time
}

func newWorkerState(w Worker) *workerState { return &workerState{info: w, limit: initialWorkerLimit} }

func (w *workerState) hasCapacity(now time.Time) bool {
	return w.inFlight < int(w.limit) && !now.Before(w.backoffUntil)
}

func (w *workerState) recordSuccess() { w.limit = min(maxWorkerLimit, w.limit+1/w.limit) }

// recordRefusal records that the worker had no capacity and how long it asked
// to wait. A draining worker specifies no wait: without a minimum the owner
// would retry it in a busy loop.
func (w *workerState) recordRefusal(now time.Time, wait time.Duration) {
	w.limit = max(1, w.limit/2)
	w.backoffUntil = now.Add(max(wait, workerBackoff))
}

// recordUnresponsive records that the worker did not answer.
func (w *workerState) recordUnresponsive(now time.Time) {
	w.limit = max(1, w.limit/2)
	w.backoffUntil = now.Add(workerBackoff)
}

// workerSet holds an owner's workers by VM.
type workerSet map[string]*workerState

// update applies a new list of workers and returns the removed ones. The set
// consists of the own VM, which is first in the list, and up to workersPerDomain
// workers of each failure domain. The latter depend on the step and not on its
// owner.
func (s workerSet) update(step string, workers []Worker) []*workerState {
	wanted := make(map[string]Worker)
	perDomain := make(map[string]int)
	ranked := slices.Clone(workers)
	slices.SortFunc(ranked, func(a, b Worker) int { return cmp.Compare(rank(step, b.VM), rank(step, a.VM)) })
	for _, w := range ranked {
		if perDomain[w.FailureDomain] < workersPerDomain {
			perDomain[w.FailureDomain]++
			wanted[w.VM] = w
		}
	}
	if len(workers) > 0 {
		wanted[workers[0].VM] = workers[0]
	}
	var removed []*workerState
	for vm, old := range s {
		if _, ok := wanted[vm]; !ok {
			removed = append(removed, old)
			delete(s, vm)
		}
	}
	for vm, w := range wanted {
		if _, known := s[vm]; !known {
			s[vm] = newWorkerState(w)
		}
	}
	return removed
}

// pick returns the worker with capacity that ranks highest for a group, or nil.
// The slots of a group share a prompt. One VM sends them to the same engine,
// whose prefix cache then holds the prompt.
func (s workerSet) pick(group string, now time.Time, exclude string) *workerState {
	var best *workerState
	for vm, candidate := range s {
		if vm == exclude || !candidate.hasCapacity(now) {
			continue
		}
		if best == nil || rank(group, vm) > rank(group, best.info.VM) {
			best = candidate
		}
	}
	return best
}

// rank returns the rank of a VM for a name by rendezvous hashing.
func rank(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }

// candidatesPerStep is how many VMs campaign for a step.
const candidatesPerStep = 3

// isCandidate reports whether a VM is one of the highest ranked for a name.
// With an empty list every VM is a candidate.
func isCandidate(name, vm string, live []string) bool {
	own := rank(name, vm)
	higher := 0
	for _, other := range live {
		if other != vm && rank(name, other) > own {
			higher++
		}
	}
	return higher < candidatesPerStep
}
