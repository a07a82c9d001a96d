package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/standin"
)

// publish publishes the next weight version and returns its number.
func (f *fleet) publish() int64 {
	f.t.Helper()
	var published platformapi.WeightVersion
	_, answer := f.call(http.MethodPost, f.platformURL+standin.PathPublish, fmt.Appendf(nil, `{"model":%q}`, model), nil)
	if err := json.Unmarshal(answer, &published); err != nil {
		f.t.Fatal(err)
	}
	return published.Version
}

// enginesServe reports whether every engine serves a weight version.
func (f *fleet) enginesServe(version int64) bool {
	for _, e := range f.engines {
		var load engine.Load
		_, answer := f.call(http.MethodGet, "http://"+e.Address+engine.PathLoad, nil, nil)
		if json.Unmarshal(answer, &load) != nil || load.WeightVersion != version {
			return false
		}
	}
	return true
}

// leaseHolder returns the holder of a lease according to the status of the queried
// VM, or nil if there is none.
func (f *fleet) leaseHolder(queried *vm, lease string) *vm {
	f.t.Helper()
	var status operator.Status
	_, answer := f.call(http.MethodGet, "http://"+queried.operatorAddress+"/v1/status", nil, func(h http.Header) {
		h.Set("Authorization", "Bearer "+operatorToken)
	})
	if err := json.Unmarshal(answer, &status); err != nil {
		f.t.Fatal(err)
	}
	for _, l := range status.Leases {
		for _, v := range f.vms {
			if l.Name == lease && v.id == holderVM(l.Holder) {
				return v
			}
		}
	}
	return nil
}

// holderVM returns the ID of the VM in a holder's identity, which ends with the
// nonce of a campaign.
func holderVM(holder string) string {
	for i, r := range holder {
		if r == '/' {
			return holder[:i]
		}
	}
	return holder
}

// awaitHolder waits until a VM other than the excluded one holds a lease.
func (f *fleet) awaitHolder(lease string, excluded *vm) *vm {
	f.t.Helper()
	var found *vm
	await(f.t, "a holder of "+lease, func() bool {
		for _, queried := range f.vms {
			if queried != excluded {
				found = f.leaseHolder(queried, lease)
				break
			}
		}
		return found != nil && found != excluded
	})
	return found
}

// The holder of the domain lease, which orders weight loads, is paused until its
// lease has expired. A new holder orders newer weights, and then the previous
// holder resumes. If it sent its outdated orders, engines that don't check fencing
// tokens would return to old weights, and samples would be stale unnoticed.
func TestPausedHolderSendsNoOrderAfterLeaseExpiry(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 3, engines: 4, engineArgs: []string{"--swap-time", "300ms"}})
	f.grant(testContract("strathallan"))
	paused := f.awaitHolder("domain/a", nil)
	version2 := f.publish()
	await(t, "the first weight update", func() bool { return f.enginesServe(version2) })

	version3 := f.publish()
	time.Sleep(200 * time.Millisecond)
	paused.signal(t, syscall.SIGSTOP)
	f.awaitHolder("domain/a", paused)
	await(t, "the new holder's weight update", func() bool { return f.enginesServe(version3) })
	// One engine fails every weight load, so that every VM that considers itself
	// the holder keeps sending orders.
	f.addFault("http://"+f.engines[0].Address, standin.Fault{Path: engine.PathOrders, Mode: standin.FaultFailOrder})
	version4 := f.publish()
	time.Sleep(2 * time.Second)
	paused.signal(t, syscall.SIGCONT)
	paused.find(t, `DWP-1203`)
	time.Sleep(2 * time.Second)
	f.clearFaults("http://" + f.engines[0].Address)
	await(t, "the last weight update", func() bool { return f.enginesServe(version4) })
	for _, e := range f.engines {
		if c := f.counts(e); c.StaleOrders != 0 {
			t.Errorf("%s received %d orders from a holder whose lease had expired", e.ID, c.StaleOrders)
		}
	}
}

// The VM that orders weight loads is killed during a weight update. Without a new
// holder, engines that had not received an order would keep their old weights.
func TestNewHolderCompletesWeightUpdateOfKilledHolder(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 3, engines: 4, engineArgs: []string{"--swap-time", "500ms"}})
	f.grant(testContract("strathallan"))
	killed := f.awaitHolder("domain/a", nil)
	time.Sleep(1500 * time.Millisecond)
	version := f.publish()
	time.Sleep(300 * time.Millisecond)
	killedAt := time.Now()
	killed.kill()
	await(t, "the new holder's weight update", func() bool { return f.enginesServe(version) })
	t.Logf("all engines served the version %v after the kill; the term of the lease is 2s", time.Since(killedAt).Round(time.Millisecond))
}

// reports returns the usage reports that billing accepted.
func (f *fleet) reports() []platformapi.UsageReport {
	f.t.Helper()
	var accepted []platformapi.UsageReport
	_, answer := f.call(http.MethodGet, f.platformURL+standin.PathReportLog, nil, nil)
	if err := json.Unmarshal(answer, &accepted); err != nil {
		f.t.Fatal(err)
	}
	return accepted
}

// reportedRequests returns the number of requests in all reports that billing
// accepted for an account, and whether a report was incomplete. The test fails if
// a window was accepted twice.
func (f *fleet) reportedRequests(account string) (requests int64, incomplete bool) {
	f.t.Helper()
	seen := make(map[int64]bool)
	for _, r := range f.reports() {
		if r.Account != account {
			continue
		}
		if seen[r.Window] {
			f.t.Errorf("window %d was reported twice", r.Window)
		}
		seen[r.Window] = true
		requests += r.Requests + r.CorrectionRequests
		incomplete = incomplete || r.Incomplete
	}
	return requests, incomplete
}

// One VM is killed, one is stopped as planned, and billing loses the replies to
// some reports. The client account must be billed once for each served request,
// and the report must be marked incomplete, because it may lack usage that the
// killed VM had not flushed.
func TestUsageIsReportedAfterVMIsKilled(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 3, engines: 2})
	key := f.grant(testContract("strathallan"))
	f.addFault(f.platformURL, standin.Fault{Path: platformapi.PathReports, Mode: standin.FaultLoseReply, Count: 2})
	const calls = 10
	served := int64(0)
	for _, v := range f.vms {
		for n := range calls {
			status, answer := f.generate(v, key, fmt.Sprintf("question %d", n), 8)
			if status != http.StatusOK {
				t.Fatalf("%s: %d %s", v.id, status, answer)
			}
			served++
		}
	}
	time.Sleep(3 * time.Second) // The flush interval is 1 s, so the VM to be killed has flushed its usage.
	killed, stopped := f.vms[2], f.vms[1]
	killed.kill()
	stopped.signal(t, syscall.SIGTERM)
	if err := stopped.awaitExit(t); err != nil {
		t.Errorf("the planned stop failed: %v", err)
	}
	f.vms = f.vms[:1]
	await(t, "the report of every request", func() bool {
		requests, _ := f.reportedRequests("strathallan")
		return requests >= served
	})
	await(t, "an incomplete report for the killed VM's window", func() bool {
		_, incomplete := f.reportedRequests("strathallan")
		return incomplete
	})
	time.Sleep(6 * time.Second) // After one more window the total must be unchanged.
	if requests, _ := f.reportedRequests("strathallan"); requests != served {
		t.Errorf("%d requests were reported, %d were served", requests, served)
	}
}

// Requests are queued, the contract pays for two more engines, and the reply to
// an order is lost. The order must not be executed twice, and the engines in use
// must not cost more than the contract allows.
func TestUpstreamsAreOrderedWithinTheContract(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 2, engines: 1, engineArgs: []string{"--token-time", "20ms", "--slots", "2"}})
	c := testContract("strathallan")
	c.Spending.CentsPerHour = 250
	key := f.grant(c)
	for n := range 3 {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("spare-%d", n), Kind: platformapi.KindEngine, FailureDomain: "a",
			State: "spare", Model: model, Slots: 8, CentsPerHour: 100,
		}
		f.startUpstream(u, []string{"engine"})
	}
	f.addFault(f.platformURL, standin.Fault{Path: platformapi.PathOrders, Mode: standin.FaultLoseReply, Count: 1})
	stop := make(chan struct{})
	done := make(chan struct{})
	for range 24 {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				default:
					f.generate(f.vms[0], key, "How many trees are left?", 64)
				}
			}
		}()
	}
	running := func() int {
		var listed []platformapi.Upstream
		_, answer := f.call(http.MethodGet, f.platformURL+platformapi.PathUpstreams, nil, nil)
		if err := json.Unmarshal(answer, &listed); err != nil {
			t.Fatal(err)
		}
		count := 0
		for _, u := range listed {
			if u.Account == "strathallan" {
				count++
			}
		}
		return count
	}
	most := 0
	await(t, "two upstreams of the account", func() bool {
		most = max(most, running())
		return most == 2
	})
	time.Sleep(5 * time.Second)
	if now := running(); now > 2 {
		t.Errorf("%d upstreams at 100 cents per hour are running, the contract allows 250 cents per hour", now)
	}
	close(stop)
	for range 24 {
		<-done
	}
}
