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
func TestLanesCoverEveryFailureDomain(t *testing.T) {
	l := make(lanes)
	workers := workersOf(7, 55)
	l.replace("s", workers)
	perDomain := make(map[string]int)
	for _, one := range l {
		perDomain[one.worker.FailureDomain]++
	}
	for d := range 7 {
		if n := perDomain[fmt.Sprint(d)]; n < lanesPerDomain || n > lanesPerDomain+1 {
			t.Errorf("failure domain %d has %d lanes", d, n)
		}
	}
	if _, own := l[workers[0].VM]; !own {
		t.Error("the own VM is not used")
	}
	if gone := l.replace("s", workers[:1]); len(gone) != len(perDomain)*lanesPerDomain && len(gone) != len(perDomain)*lanesPerDomain-1 {
		t.Errorf("%d lanes are gone", len(gone))
	}
	if len(l) != 1 {
		t.Errorf("%d lanes are left to an owner that is alone", len(l))
	}
}

// The limit of a worker that refuses must drop at once and grow again
// gradually; otherwise an owner would keep sending attempts to a full VM.
func TestLaneFollowsItsWorker(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLane(Worker{})
	l.refused(now, 5*time.Second)
	if l.limit != laneStart/2 || l.free(now.Add(4*time.Second)) || !l.free(now.Add(5*time.Second)) {
		t.Errorf("after a refusal: %+v", l)
	}
	for range laneStart / 2 {
		l.succeeded()
	}
	if l.limit < laneStart/2+0.9 || l.limit > laneStart/2+1.1 {
		t.Errorf("after a round of successes the limit is %v", l.limit)
	}
	for range 20 {
		l.refused(now, 0)
	}
	if l.limit != 1 {
		t.Errorf("the limit fell to %v", l.limit)
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
	if count != candidates {
		t.Errorf("%d candidates", count)
	}
	if !isCandidate("step", "vm-x", nil) {
		t.Error("a VM without a list does not contend")
	}
}
