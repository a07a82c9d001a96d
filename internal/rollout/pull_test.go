package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/sample"
)

// A pull at a paused VM times out, and the trainer gets its samples from
// another VM. The first VM then continues, and by its older contract these
// samples are stale. If it withdrew them, their slots would be generated again
// and delivered a second time.
func TestOvertakenPullWithdrawsNothing(t *testing.T) {
	// The paused VM's calls for its pull, after a search: progress,
	// registration of the pull, batches, progress for the withdrawal, the
	// withdrawal itself.
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

			// vm-a does not receive the operator's edit.
			current := c.view
			c.view = contract.NewView()
			c.view.Advance(current.Load())
			slow := c.start("vm-a", faultsByCall{paused: {Kind: faultinject.PauseBefore, Duration: shortPause}})
			c.view = current
			tr.pullNumber++
			abandoned := sample.Pull{Number: tr.pullNumber}
			answer := make(chan error, 1)
			go func() {
				_, err := slow.manager.Samples(t.Context(), testAccount, "s", abandoned)
				answer <- err
			}()
			time.Sleep(time.Second)
			// The operator widens the bound, so that the old samples are within
			// it.
			widenBound(c)
			tr.receive(tr.pull())
			switch err := <-answer; {
			case fault.Is[*fault.PullOvertaken](err):
				overtaken++
			case err != nil:
				t.Errorf("the abandoned pull failed with %v", err)
			}
			time.Sleep(2 * longPause)
			tr.receive(tr.pull())
			tr.finish()
			checkStore(c, d)
		})
	}
	if overtaken < 3 {
		t.Errorf("only %d pulls were overtaken, too few to cover withdrawal", overtaken)
	}
}

// widenBound puts a contract in force that allows samples a version lag of ten.
func widenBound(c *cluster) {
	c.staleness = contract.Staleness{MaxVersions: 10}
	terms := contract.DefaultContract(testAccount)
	terms.Staleness = c.staleness
	next, err := c.view.Load().Apply(contract.Entry{Revision: 2, Kind: contract.EditContract, Contract: &terms})
	if err != nil {
		c.t.Fatal(err)
	}
	c.view.Advance(next)
}

// A pull number is accepted once: a repeated pull is refused, and so is one
// with a lower number than a later pull. A trainer that has lost its number
// reads it from the step's status.
func TestPullNumberIsAcceptedOnce(t *testing.T) {
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
