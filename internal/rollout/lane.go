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
	laneStart = 16
	laneMax   = 128
	// workersPerDomain is how many workers of one failure domain an owner uses.
	lanesPerDomain = 3
	// workerBackoff is how long an owner starts no attempts at a worker that
	// did not answer. It is also the minimum backoff after a refusal.
	laneRest = time.Second
)

// workerState is an owner's state for one worker. The limit on concurrent
// attempts grows by one for each full round of successes and halves when the
// worker is full or does not answer, so that owners share the engines without
// coordination.
type lane struct {
	worker  Worker
	limit   float64
	running int
	// backoffUntil is the end of the backoff after a failure.
	restUntil time.Time
}

func newLane(w Worker) *lane { return &lane{worker: w, limit: laneStart} }

func (l *lane) free(now time.Time) bool {
	return l.running < int(l.limit) && !now.Before(l.restUntil)
}

func (l *lane) succeeded() { l.limit = min(laneMax, l.limit+1/l.limit) }

// recordRefusal records that the worker had no capacity and how long it asked
// to wait. A draining worker names no wait: without a minimum the owner would
// retry it in a busy loop.
func (l *lane) refused(now time.Time, wait time.Duration) {
	l.limit = max(1, l.limit/2)
	l.restUntil = now.Add(max(wait, laneRest))
}

// recordUnresponsive records that the worker did not answer.
func (l *lane) silent(now time.Time) {
	l.limit = max(1, l.limit/2)
	l.restUntil = now.Add(laneRest)
}

// workerSet holds an owner's workers by VM.
type lanes map[string]*lane

// update applies a new list of workers. The set consists of the own VM, which
// is first in the list, and up to workersPerDomain workers of each failure
// domain, the same for a step whichever VM owns it. It returns the removed
// workers.
func (l lanes) replace(step string, workers []Worker) []*lane {
	wanted := make(map[string]Worker)
	perDomain := make(map[string]int)
	ranked := slices.Clone(workers)
	slices.SortFunc(ranked, func(a, b Worker) int { return cmp.Compare(rank(step, b.VM), rank(step, a.VM)) })
	for _, w := range ranked {
		if perDomain[w.FailureDomain] < lanesPerDomain {
			perDomain[w.FailureDomain]++
			wanted[w.VM] = w
		}
	}
	if len(workers) > 0 {
		wanted[workers[0].VM] = workers[0]
	}
	var gone []*lane
	for vm, old := range l {
		if _, stays := wanted[vm]; !stays {
			gone = append(gone, old)
			delete(l, vm)
		}
	}
	for vm, w := range wanted {
		if _, known := l[vm]; !known {
			l[vm] = newLane(w)
		}
	}
	return gone
}

// pick returns the worker with capacity that ranks highest for a group, or nil.
// The slots of a group share a prompt. One VM sends them to the same engine,
// whose prefix cache then holds the prompt.
func (l lanes) pick(group string, now time.Time, exclude string) *lane {
	var best *lane
	for vm, candidate := range l {
		if vm == exclude || !candidate.free(now) {
			continue
		}
		if best == nil || rank(group, vm) > rank(group, best.worker.VM) {
			best = candidate
		}
	}
	return best
}

// rank returns the weight of a VM for a name in rendezvous hashing.
func rank(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }

// candidatesPerStep is how many VMs campaign for a step.
const candidates = 3

// isCandidate reports whether a VM is one of the highest ranked for a name.
// With an empty list every VM is a candidate.
func isCandidate(name, vm string, live []string) bool {
	own := rank(name, vm)
	better := 0
	for _, other := range live {
		if other != vm && rank(name, other) > own {
			better++
		}
	}
	return better < candidates
}
