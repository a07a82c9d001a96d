package rollout

import (
	"fmt"
	"testing"
	"time"
)

func workersOf(domains, vms int) []Worker {
	var workers []Worker
	for d := range domains {
		for v := range vms {
			workers = append(workers, Worker{VM: fmt.Sprintf("vm-%d-%d", d, v), FailureDomain: fmt.Sprint(d)})
		}
	}
	return workers
}

// In a fleet of 390 VMs an owner must not use all of them as workers. When a
// failure domain is lost, it must still have workers in the others.
func TestWorkersCoverEveryFailureDomain(t *testing.T) {
	s := make(workerSet)
	workers := workersOf(7, 55)
	s.update("s", workers)
	perDomain := make(map[string]int)
	for _, w := range s {
		perDomain[w.info.FailureDomain]++
	}
	for d := range 7 {
		if n := perDomain[fmt.Sprint(d)]; n < workersPerDomain || n > workersPerDomain+1 {
			t.Errorf("failure domain %d has %d workers", d, n)
		}
	}
	if _, own := s[workers[0].VM]; !own {
		t.Error("the own VM is not used")
	}
	if removed := s.update("s", workers[:1]); len(removed) != len(perDomain)*workersPerDomain && len(removed) != len(perDomain)*workersPerDomain-1 {
		t.Errorf("%d workers were removed", len(removed))
	}
	if len(s) != 1 {
		t.Errorf("%d workers are left to an owner without peers", len(s))
	}
}

// The limit of a worker that refuses must drop at once and grow again
// gradually; otherwise an owner would keep sending attempts to a full VM.
func TestWorkerLimitAdapts(t *testing.T) {
	now := time.Unix(0, 0)
	w := newWorkerState(Worker{})
	w.recordRefusal(now, 5*time.Second)
	if w.limit != initialWorkerLimit/2 || w.hasCapacity(now.Add(4*time.Second)) || !w.hasCapacity(now.Add(5*time.Second)) {
		t.Errorf("after a refusal: %+v", w)
	}
	for range initialWorkerLimit / 2 {
		w.recordSuccess()
	}
	if w.limit < initialWorkerLimit/2+0.9 || w.limit > initialWorkerLimit/2+1.1 {
		t.Errorf("after a round of successes the limit is %v", w.limit)
	}
	for range 20 {
		w.recordRefusal(now, 0)
	}
	if w.limit != 1 {
		t.Errorf("the limit fell to %v", w.limit)
	}
}

// Three VMs campaign for each step, whichever VMs are alive. Without a list
// every VM campaigns, since no other VM may be alive.
func TestCandidates(t *testing.T) {
	var live []string
	for _, w := range workersOf(7, 55) {
		live = append(live, w.VM)
	}
	count := 0
	for _, vm := range live {
		if isCandidate("step", vm, live) {
			count++
		}
	}
	if count != candidatesPerStep {
		t.Errorf("%d candidates", count)
	}
	if !isCandidate("step", "vm-x", nil) {
		t.Error("a VM without a list is no candidate")
	}
}
