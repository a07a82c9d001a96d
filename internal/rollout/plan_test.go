package rollout

import (
	"testing"
	"time"

	"dogwoodpond/internal/sample"
)

// Guards against a sample for a slot that has one: a commit without an answer takes effect while
// the slot is generated again, and that sample is rejected afterwards.
func TestRejectedSampleDoesNotReopenFilledSlot(t *testing.T) {
	d := testStep(1, 2)
	p := newPlan("s", d, false)
	p.workerSet.update("s", workersOf(1, 1))
	now := time.Unix(0, 0)
	for _, a := range p.startPending(now) {
		a.cancel = func() {}
		p.remove(a)
		p.markSucceeded(a, now)
	}
	progress, _, err := sample.NewProgress(d).Commit("s", 0, []sample.Sample{{Slot: p.slots[0].slot}})
	if err != nil {
		t.Fatal(err)
	}
	p.reconcile(progress)
	p.retry(0, now)
	if started := p.startPending(now.Add(time.Minute)); len(started) != 0 {
		t.Errorf("an attempt was started for slot %d, which has a sample", started[0].position)
	}
	p.retry(1, now)
	if started := p.startPending(now.Add(time.Minute)); len(started) != 1 {
		t.Errorf("%d attempts were started for the slot without a sample, want 1", len(started))
	}
}
