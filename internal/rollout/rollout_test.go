package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

var noBound = contract.Staleness{MaxVersions: 1000}

// An owner dies in the middle of a step. Without a takeover the trainer would
// wait forever. A VM that ran the whole step again would waste engine time and
// could deliver a slot twice.
func TestTakeoverAfterOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.engine.duration = func(slot string, _ int) time.Duration {
			if slot == "g3.1" || slot == "g3.0" {
				return 5 * time.Second
			}
			return time.Second
		}
		owner := c.start("vm-a", nil)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.openOwnedBy(owner, d)
		c.start("vm-b", nil)
		time.Sleep(2 * time.Second)
		owner.Kill()
		tr.finish()
		for slot, attempts := range c.engine.attempts {
			want := 1
			if slot == "g3.1" || slot == "g3.0" {
				want = 2
			}
			if attempts != want {
				t.Errorf("slot %s was generated %d times, want %d", slot, attempts, want)
			}
		}
	})
}

// A VM opens a step and dies before any other VM knows of it. The trainer has
// its reply and waits, so another VM must find and run the step.
func TestStepRunsAfterOpenerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		opener := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		opener.Kill()
		c.start("vm-b", nil)
		tr.finish()
	})
}

// A search must not find a finished step: otherwise its reads of the store
// would grow with the number of steps.
func TestSearchOmitsFinishedSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		time.Sleep(3 * time.Second)
		open, err := v.manager.store.openSteps(t.Context())
		if err != nil || len(open) != 0 {
			t.Fatalf("open steps: %v, %v", open, err)
		}
		if len(v.manager.campaigns) != 0 {
			t.Fatalf("campaigns: %v", v.manager.campaigns)
		}
	})
}

// A trainer whose reply to Open was lost opens the step again. One with a wrong
// definition must not receive the samples of another step.
func TestOpenIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.open(d)
		tr.finish()
		if _, err := v.manager.Open(t.Context(), testAccount, "s", testStep(2, 3)); !fault.Is[*fault.StepMismatch](err) {
			t.Fatalf("another definition gave %v", err)
		}
		status, err := v.manager.Open(t.Context(), testAccount, "s", d)
		if err != nil || status.Committed != 4 || status.Filled != 4 || status.Acked != 4 {
			t.Fatalf("status %+v, %v", status, err)
		}
	})
}

// Another client account guesses a step's name. It must not learn anything
// about the step, whatever slashes the account or the name contains.
func TestStepsAreIsolatedByAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(1, 1)
		tr := newTrainer(c, "a/b", d)
		tr.open(d)
		tr.finish()
		for _, other := range []stepRef{{"brazicod", "a/b"}, {testAccount + "/a", "b"}} {
			if _, err := v.manager.Samples(t.Context(), other.account, other.step, sample.Pull{}); !fault.Is[*fault.StepUnknown](err) {
				t.Errorf("%v gave %v", other, err)
			}
		}
	})
}

// A reply is lost on its way to the trainer, and the trainer pulls again with
// its old cursor, or restarts from it. It must receive identical samples.
func TestRedeliveryIsIdentical(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.start("vm-a", nil)
		c.start("vm-b", nil)
		d := testStep(8, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		for len(tr.received) < tr.total {
			lost := tr.pull()
			again := tr.pull()
			for i := range lost {
				if string(platformapi.EncodeValue(lost[i])) != string(platformapi.EncodeValue(again[i])) {
					t.Fatalf("%+v was delivered again as %+v", lost[i], again[i])
				}
			}
			tr.receive(again)
			tr.ack()
		}
	})
}

// The samples of a step are billed like other requests. Hedges and failed
// attempts must not be billed to the client account.
func TestCommittedSamplesAreBilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.start("vm-a", nil)
		c.start("vm-b", nil)
		c.engine.duration = func(slot string, attempt int) time.Duration {
			if slot == "g5.1" && attempt == 1 {
				return 100 * time.Second
			}
			return time.Second
		}
		d := testStep(10, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		if want := (usage.Counts{Requests: 20, Tokens: 20 * testTokens}); c.billed() != want {
			t.Fatalf("usage is %+v, want %+v", c.billed(), want)
		}
	})
}

// A trainer pulls samples that it has acknowledged. The pull must fail: the
// samples may be stale by now, and their slots are not generated again.
func TestPullBeforeAcknowledgedFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		if _, err := v.manager.Samples(context.Background(), testAccount, "s", sample.Pull{After: 1}); !fault.Is[*fault.BadRequest](err) {
			t.Fatalf("a pull before the acknowledged sample returned error %v, want BadRequest", err)
		}
	})
}
