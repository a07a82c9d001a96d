package weightload

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi/faultinject"
)

// takeExpiredLease lets vm-1 hold the lease of the loader for some time, until its process is cut
// off from the store. It returns the time from the end of that term to the first probe and to the
// first order of vm-2, the next holder.
func takeExpiredLease(t *testing.T, term, heldFor time.Duration) (untilProbe, untilOrder time.Duration) {
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	first, next := cluster.Start(t.Context(), "vm-1"), cluster.Start(t.Context(), "vm-2")
	l, engines := newObservedLoader(1, noLatency)
	engines.probed = make(chan time.Time, 1)
	var termEnd time.Time
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leases := lease.NewManager(first, "vm-1", term, l.Events)
		_ = leases.Campaign(first.Context, LeaseName("x"), func(ctx context.Context, g lease.Guard) (bool, error) {
			time.AfterFunc(heldFor, func() { first.CutOff(time.Hour) })
			<-ctx.Done()
			termEnd = g.Deadline()
			first.Kill()
			return true, nil
		})
	}()
	// Without this, vm-2 could take the lease first.
	time.Sleep(time.Millisecond)
	l.Leases = lease.NewManager(next, "vm-2", term, l.Events)
	go l.Run(next.Context)
	<-ended
	probedAt := <-engines.probed
	for len(engines.ordersOf("e00")) == 0 {
		time.Sleep(planInterval)
	}
	next.Stop()
	synctest.Wait()
	return probedAt.Sub(termEnd), engines.ordersOf("e00")[0].at.Sub(termEnd)
}

// Guards against an order of an expired term that its sender's kernel still resends after the
// first probe of the next holder, for any term of the leases.
func TestProbesBeginAfterTheLastOrderOfAnExpiredTerm(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(8)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("first probe", prop.ForAll(func(termMillis, heldMillis int) string {
		var untilProbe, untilOrder time.Duration
		synctest.Test(t, func(t *testing.T) {
			untilProbe, untilOrder = takeExpiredLease(t, time.Duration(termMillis)*time.Millisecond, time.Duration(heldMillis)*time.Millisecond)
		})
		if untilProbe < orderTimeout || untilOrder < orderTimeout+settleTime {
			return fmt.Sprintf("first probe %s and first order %s after the end of the term", untilProbe, untilOrder)
		}
		return ""
	}, gen.IntRange(100, 5000), gen.IntRange(0, 5000)))
	properties.TestingRun(t)
}
