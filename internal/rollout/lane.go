package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// laneStart is how many generations an owner first gives to a worker, and
	// laneMax the most.
	laneStart = 16
	laneMax   = 128
	// lanesPerDomain is how many workers of one failure domain an owner uses.
	lanesPerDomain = 3
	// laneRest is how long a worker rests that did not answer.
	laneRest = time.Second
)

// lane is one worker as an owner uses it. The limit grows by one for each full
// round of successes and halves when the worker is full, so that owners share
// the engines without knowing of each other.
type lane struct {
	worker  Worker
	limit   float64
	running int
	// restUntil ends a pause after a failure.
	restUntil time.Time
}

func newLane(w Worker) *lane { return &lane{worker: w, limit: laneStart} }

func (l *lane) free(now time.Time) bool {
	return l.running < int(l.limit) && !now.Before(l.restUntil)
}

func (l *lane) succeeded() { l.limit = min(laneMax, l.limit+1/l.limit) }

// refused notes that the worker had no room and named a time to come back. A
// draining worker names none; without a rest of its own the lane would ask it
// again and again in a busy loop.
func (l *lane) refused(now time.Time, wait time.Duration) {
	l.limit = max(1, l.limit/2)
	l.restUntil = now.Add(max(wait, laneRest))
}

// silent notes that the worker did not answer.
func (l *lane) silent(now time.Time) {
	l.limit = max(1, l.limit/2)
	l.restUntil = now.Add(laneRest)
}

// lanes are an owner's workers by VM.
type lanes map[string]*lane

// replace takes a new list of workers: the own VM, and some of every failure
// domain, the same for one step on whichever VM owns it. It returns the lanes
// that are gone.
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

// pick returns the lane with room that ranks highest for a group, or nil. The
// slots of a group share a prompt, and one VM brings them to the same engine,
// whose prefix cache then serves them.
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

// rank is the weight of a VM for a name in rendezvous hashing.
func rank(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }

// candidates is how many VMs contend for a step.
const candidates = 3

// isCandidate reports whether a VM is among the best ranked for a name. An
// empty list makes every VM a candidate.
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
