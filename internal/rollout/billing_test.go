package rollout

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/usage"
)

// isBatchKey reports whether a key is that of a batch of samples.
func isBatchKey(key string) bool { return strings.HasPrefix(key, "samples/") }

// delayBatchReplies returns a reply delay for commits of samples.
func delayBatchReplies(d time.Duration) func(platformapi.Txn) time.Duration {
	return func(txn platformapi.Txn) time.Duration {
		if isBatchKey(txn.Writes[0].Key) {
			return d
		}
		return 0
	}
}

// stopDuringFirstBatch returns a reply delay that delays the reply to the first
// commit of samples by d and stops a VM after half of it, or after 1 s if that is
// earlier.
func stopDuringFirstBatch(v *testVM, d time.Duration) func(platformapi.Txn) time.Duration {
	var stopping atomic.Bool
	return func(txn platformapi.Txn) time.Duration {
		if !isBatchKey(txn.Writes[0].Key) || stopping.Swap(true) {
			return 0
		}
		time.AfterFunc(min(d/2, time.Second), v.Stop)
		return d
	}
}

// oneFastSlot is the duration of attempts of which that at one slot ends first.
func oneFastSlot(slot string, _ int) time.Duration {
	if slot == "g0.0" {
		return time.Second
	}
	return 3 * time.Second
}

func checkBilled(t *testing.T, c *cluster, samples int64) {
	t.Helper()
	if want := (usage.Counts{Requests: samples, Tokens: samples * testTokens}); c.billed() != want {
		t.Errorf("usage is %+v, want %+v", c.billed(), want)
	}
}

// Guards against samples that are not billed because the search finds their step
// finished while the reply to the last commit is on its way.
func TestLastSamplesAreBilledWhenTheSearchEndsTheCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.replyDelay = delayBatchReplies(1500 * time.Millisecond)
		c.start("vm-a", nil)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}

// Guards against samples that are not billed because their owner is stopped while
// the reply to their commit is on its way.
func TestSamplesAreBilledWhenTheOwnerStopsDuringACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		owner := c.start("vm-a", nil)
		c.engine.duration = oneFastSlot
		c.replyDelay = stopDuringFirstBatch(owner, 300*time.Millisecond)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.openOwnedBy(owner, d)
		c.start("vm-b", nil)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}
