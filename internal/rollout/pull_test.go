package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform/platformtest"
	"dogwoodpond/internal/sample"
)

// A trainer pulls from a VM that is paused, gives up, and gets its samples from
// another VM. Then the first VM goes on, and by what it knows these samples are
// stale. If it withdrew them now, their slots would run again and come to the
// trainer a second time.
func TestOvertakenPullWithdrawsNothing(t *testing.T) {
	// The VM's calls of its pull, after a search: progress, turn, batches,
	// progress for the withdrawal, the withdrawal itself.
	overtaken := 0
	for paused := range 8 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, contract.Staleness{MaxVersions: 0})
			defer c.stop()
			c.start("vm-b", nil)
			d := testStep(2, 2)
			tr := newTrainer(c, "s", d)
			tr.open(d)
			time.Sleep(5 * time.Second)
			c.weights.publish()

			// vm-a does not hear of the operator's edit.
			current := c.view
			c.view = contract.NewView()
			c.view.Advance(current.Load())
			slow := c.start("vm-a", faultsOf{paused: {Kind: platformtest.PauseBefore, For: shortPause}})
			c.view = current
			tr.number++
			given := sample.Pull{Number: tr.number}
			answer := make(chan error, 1)
			go func() {
				_, err := slow.manager.Samples(t.Context(), testAccount, "s", given)
				answer <- err
			}()
			time.Sleep(time.Second)
			// The operator widens the bound, so that the old samples will do.
			widen(c)
			tr.take(tr.pull())
			switch err := <-answer; {
			case fault.Is[*fault.PullOvertaken](err):
				overtaken++
			case err != nil:
				t.Errorf("the pull that was given up ended with %v", err)
			}
			time.Sleep(2 * longPause)
			tr.take(tr.pull())
			tr.finish()
			checkStore(c, d)
		})
	}
	if overtaken < 3 {
		t.Errorf("only %d pulls were overtaken, so that the test says little", overtaken)
	}
}

// widen puts a contract in force that lets samples be ten versions behind.
func widen(c *cluster) {
	c.staleness = contract.Staleness{MaxVersions: 10}
	terms := contract.DefaultContract(testAccount)
	terms.Staleness = c.staleness
	next, err := c.view.Load().Apply(contract.Entry{Revision: 2, Kind: contract.EditContract, Contract: &terms})
	if err != nil {
		c.t.Fatal(err)
	}
	c.view.Advance(next)
}

// A repeated request of a pull that had its turn is refused, and so is one that
// comes after a later pull; a trainer that has lost its number learns it from
// the step's status.
func TestPullsTakeTurnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		v := c.start("vm-a", nil)
		d := testStep(2, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		time.Sleep(5 * time.Second)
		pull := func(number int64) error {
			_, err := v.manager.Samples(t.Context(), testAccount, "s", sample.Pull{Number: number})
			return err
		}
		if err := pull(7); err != nil {
			t.Fatal(err)
		}
		for _, number := range []int64{7, 6} {
			if err := pull(number); !fault.Is[*fault.PullOvertaken](err) {
				t.Errorf("pull %d gave %v", number, err)
			}
		}
		status, err := v.manager.Open(t.Context(), testAccount, "s", d)
		if err != nil || status.Pull != 7 {
			t.Errorf("status %+v, %v", status, err)
		}
		if err := pull(0); err != nil {
			t.Errorf("a pull without a number gave %v", err)
		}
	})
}
