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
	_, answer := f.call(http.MethodPost, f.platURL+standin.PathPublish, fmt.Appendf(nil, `{"model":%q}`, model), nil)
	if err := json.Unmarshal(answer, &published); err != nil {
		f.t.Fatal(err)
	}
	return published.Version
}

// serve reports whether every engine serves a weight version.
func (f *fleet) serve(version int64) bool {
	for _, e := range f.engines {
		var load engine.Load
		_, answer := f.call(http.MethodGet, "http://"+e.Address+engine.PathLoad, nil, nil)
		if json.Unmarshal(answer, &load) != nil || load.WeightVersion != version {
			return false
		}
	}
	return true
}

// holder returns the VM that the store names as a lease's holder.
func (f *fleet) holder(asked *vm, lease string) *vm {
	f.t.Helper()
	var status operator.Status
	_, answer := f.call(http.MethodGet, "http://"+asked.operators+"/v1/status", nil, func(h http.Header) {
		h.Set("Authorization", "Bearer "+operatorToken)
	})
	if err := json.Unmarshal(answer, &status); err != nil {
		f.t.Fatal(err)
	}
	for _, l := range status.Leases {
		for _, v := range f.vms {
			if l.Name == lease && v.id == holderName(l.Holder) {
				return v
			}
		}
	}
	return nil
}

// holderName cuts the campaign's nonce off a holder.
func holderName(holder string) string {
	for i, r := range holder {
		if r == '/' {
			return holder[:i]
		}
	}
	return holder
}

// awaitHolder waits until another VM than the given one holds a lease.
func (f *fleet) awaitHolder(lease string, not *vm) *vm {
	f.t.Helper()
	var found *vm
	await(f.t, "a holder of "+lease, func() bool {
		for _, asked := range f.vms {
			if asked != not {
				found = f.holder(asked, lease)
				break
			}
		}
		return found != nil && found != not
	})
	return found
}

// The VM that orders weights is paused for longer than its lease, another takes
// over and orders newer weights, and the first goes on where it stopped. An
// order of it would set engines back to old weights; those that ignore fencing
// numbers would obey, and samples would go stale unseen.
func TestPausedHolderSendsNoOrderAfterItsLease(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 3, engines: 4, engineArgs: []string{"--swap-time", "300ms"}})
	f.grant(testContract("strathallan"))
	first := f.awaitHolder("domain/a", nil)
	second := f.publish()
	await(t, "the first roll-out", func() bool { return f.serve(second) })

	third := f.publish()
	time.Sleep(200 * time.Millisecond)
	first.signal(t, syscall.SIGSTOP)
	f.awaitHolder("domain/a", first)
	await(t, "the successor's roll-out", func() bool { return f.serve(third) })
	// One engine fails every swap, so that whoever believes to be in charge keeps
	// ordering.
	f.addFault("http://"+f.engines[0].Address, standin.Fault{Path: engine.PathOrders, Mode: standin.FaultFailSwap})
	fourth := f.publish()
	time.Sleep(2 * time.Second)
	first.signal(t, syscall.SIGCONT)
	first.find(t, `DWP-1203`)
	time.Sleep(2 * time.Second)
	f.clearFaults("http://" + f.engines[0].Address)
	await(t, "the last roll-out", func() bool { return f.serve(fourth) })
	for _, e := range f.engines {
		if c := f.counts(e); c.StaleOrders != 0 {
			t.Errorf("%s got %d orders of a holder that had lost its lease", e.ID, c.StaleOrders)
		}
	}
}

// The VM that orders weights is killed in the middle of a roll-out. Engines that
// it had not reached would keep their old weights.
func TestKilledHolderIsFollowed(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 3, engines: 4, engineArgs: []string{"--swap-time", "500ms"}})
	f.grant(testContract("strathallan"))
	first := f.awaitHolder("domain/a", nil)
	time.Sleep(1500 * time.Millisecond)
	version := f.publish()
	time.Sleep(300 * time.Millisecond)
	killed := time.Now()
	first.kill()
	await(t, "the successor's roll-out", func() bool { return f.serve(version) })
	t.Logf("all engines served the version %v after the kill, the lease's term is 2s", time.Since(killed).Round(time.Millisecond))
}

// reports returns the usage reports that billing accepted.
func (f *fleet) reports() []platformapi.UsageReport {
	f.t.Helper()
	var accepted []platformapi.UsageReport
	_, answer := f.call(http.MethodGet, f.platURL+standin.PathReportLog, nil, nil)
	if err := json.Unmarshal(answer, &accepted); err != nil {
		f.t.Fatal(err)
	}
	return accepted
}

// reported adds up everything that billing accepted for an account, and fails
// the test if a window was accepted twice.
func (f *fleet) reported(account string) (requests int64, incomplete bool) {
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

// VMs serve, one is killed, one is stopped as planned, and billing loses the
// replies to some reports. The customer must be billed for each served request
// once, and told that a bill may lack what the killed VM had not written yet.
func TestUsageIsReportedOverAKilledVM(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 3, engines: 2})
	key := f.grant(testContract("strathallan"))
	f.addFault(f.platURL, standin.Fault{Path: platformapi.PathReports, Mode: standin.FaultLoseReply, Count: 2})
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
	time.Sleep(3 * time.Second) // The flush period is 1 s: the VM to be killed has written by now.
	killed, stopped := f.vms[2], f.vms[1]
	killed.kill()
	stopped.signal(t, syscall.SIGTERM)
	if err := stopped.awaitExit(t); err != nil {
		t.Errorf("the planned stop: %v", err)
	}
	f.vms = f.vms[:1]
	await(t, "every request is reported", func() bool {
		requests, _ := f.reported("strathallan")
		return requests >= served
	})
	await(t, "the killed VM's window is reported", func() bool {
		_, incomplete := f.reported("strathallan")
		return incomplete
	})
	time.Sleep(6 * time.Second) // One more window: nothing may come on top.
	if requests, _ := f.reported("strathallan"); requests != served {
		t.Errorf("%d requests were reported, %d were served", requests, served)
	}
}

// Work waits although the contract pays for more engines, and the reply to the
// order is lost. The order must be given once, and never one more than the
// contract pays for.
func TestUpstreamsAreOrderedWithinTheContract(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 2, engines: 1, engineArgs: []string{"--token-time", "20ms", "--slots", "2"}})
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
	f.addFault(f.platURL, standin.Fault{Path: platformapi.PathOrders, Mode: standin.FaultLoseReply, Count: 1})
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
		_, answer := f.call(http.MethodGet, f.platURL+platformapi.PathUpstreams, nil, nil)
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
	await(t, "two upstreams run", func() bool {
		most = max(most, running())
		return most == 2
	})
	time.Sleep(5 * time.Second)
	if now := running(); now > 2 {
		t.Errorf("%d upstreams of 100 cents run, the contract pays for 250", now)
	}
	close(stop)
	for range 24 {
		<-done
	}
}
