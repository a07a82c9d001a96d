package processtest

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/standin"
)

// A failure domain is cut off from the platform and the other domains. It must
// serve its callers with its own engines, but only for the time that the contract
// allows (isolation.serveSeconds). Otherwise a key that is withdrawn during the
// network failure would work there without limit.
func TestCutOffDomainServesOnlyForServeSeconds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1, services: 1})
	bounded := testContract("strathallan")
	bounded.Isolation.ServeSeconds = 5
	key := f.grant(bounded)
	withdrawn := f.grant(testContract("brazicod"))
	inside, outside := f.vms[0], f.vms[1]
	f.network.cutOff("a", platformEnd)
	f.network.cutOff("a", "b")
	cutOff := time.Now()

	if status, answer := f.generate(inside, key, "cut off", 16); status != http.StatusOK {
		t.Errorf("within serveSeconds: %d %s", status, answer)
	}
	status, answer := f.charge(inside, key, "tree-1", "charge")
	checkRefusal(t, "keyed call", status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
	if seen := f.counts(f.services[0]).Started + f.counts(f.services[1]).Started; seen != 0 {
		t.Errorf("the services executed %d calls that were refused as not_run", seen)
	}

	// An operator withdraws a key at a VM that is not cut off.
	edited := f.operateAt(outside, http.MethodDelete, "/v1/keys/keybrazicod", "", nil)
	await(t, "a refusal after serveSeconds", func() bool {
		status, answer = f.generate(inside, key, "cut off", 16)
		return status != http.StatusOK
	})
	t.Logf("requests were refused %v after the network failure began; serveSeconds is 5", time.Since(cutOff).Round(time.Millisecond))
	checkRefusal(t, "after serveSeconds", status, answer, http.StatusServiceUnavailable, fault.CodeConfigurationStale, fault.NotRun)

	f.network.reconnect("a", platformEnd)
	f.network.reconnect("a", "b")
	reconnected := time.Now()
	await(t, "the edit to be in force", func() bool { return f.revision(inside) >= edited })
	t.Logf("the edit was in force %v after the network failure ended", time.Since(reconnected).Round(time.Millisecond))
	await(t, "the domain to serve again", func() bool {
		status, _ := f.generate(inside, key, "healed", 16)
		return status == http.StatusOK
	})
	status, answer = f.generate(inside, withdrawn, "withdrawn", 16)
	checkRefusal(t, "key withdrawn during the network failure", status, answer, http.StatusUnauthorized, fault.CodeKeyWithdrawn, fault.NotRun)
}

// Each failure domain is cut off from the platform, from the other domains, or
// from both, for a short time. It must serve its callers with its own engines
// during each network failure. An edit made elsewhere must be in force soon
// afterwards; otherwise a withdrawn key would still work after a network failure.
func TestEachFailureDomainServesDuringEachNetworkFailure(t *testing.T) {
	domains := []string{"a", "b", "c"}
	for n, domain := range domains {
		t.Run(domain, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, topology{domains: domains, vms: 1, engines: 1, services: 1})
			c := &networkFailureTest{fleet: f, key: f.grant(testContract("strathallan")), inside: f.vms[n], outside: f.vms[(n+1)%len(domains)]}
			for _, lost := range []string{"platform", "others", "both"} {
				c.serveWithout(t, lost)
			}
			executed := int64(0)
			for _, service := range f.services {
				executed += f.counts(service).Started
			}
			if executed != c.executed {
				t.Errorf("the services executed %d calls, the callers received %d answers", executed, c.executed)
			}
		})
	}
}

// networkFailureTest cuts off one failure domain of a fleet in several ways.
type networkFailureTest struct {
	fleet           *fleet
	key             string
	inside, outside *vm // a VM in the domain and one in another domain
	// executed counts the keyed calls that were answered as executed.
	executed int64
}

// serveWithout cuts off the domain, checks which calls it serves, makes an edit at
// the VM outside, ends the network failure, and checks that the edit takes effect.
func (c *networkFailureTest) serveWithout(t *testing.T, lost string) {
	t.Helper()
	c.changeLinks(lost, c.fleet.network.cutOff)
	if status, answer := c.fleet.generate(c.inside, c.key, lost, 16); status != http.StatusOK {
		t.Errorf("without %s: generate: %d %s", lost, status, answer)
	}
	c.chargeWithout(t, lost)
	account := contract.Account("late-" + lost)
	before := c.fleet.revision(c.inside)
	revision := c.fleet.operateAt(c.outside, http.MethodPut, "/v1/contracts/"+string(account), "", testContract(account))
	if lost == "platform" {
		await(t, "the edit to arrive through peers", func() bool { return c.fleet.revision(c.inside) >= revision })
	}
	c.changeLinks(lost, c.fleet.network.reconnect)
	reconnected := time.Now()
	await(t, "the edit to be in force", func() bool {
		now := c.fleet.revision(c.inside)
		if now < before {
			t.Errorf("without %s: the revision went back from %d to %d", lost, before, now)
		}
		return now >= revision
	})
	t.Logf("without %s: the edit was in force %v after the network failure ended", lost, time.Since(reconnected).Round(time.Millisecond))
	await(t, "keyed calls to succeed again", func() bool {
		status, _ := c.fleet.charge(c.inside, c.key, lost+" after", lost)
		return status == http.StatusOK
	})
	c.executed++
}

// chargeWithout makes a keyed call. It must succeed unless the domain is cut off
// from the platform, because its claim is stored there.
func (c *networkFailureTest) chargeWithout(t *testing.T, lost string) {
	t.Helper()
	status, answer := c.fleet.charge(c.inside, c.key, lost, lost)
	if lost != "others" {
		checkRefusal(t, lost, status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
		return
	}
	c.executed++
	if status != http.StatusOK {
		t.Errorf("without %s: keyed call: %d %s", lost, status, answer)
	}
}

// changeLinks calls change for each end that the domain is cut off from: the
// platform, the other domains, or both.
func (c *networkFailureTest) changeLinks(lost string, change func(a, b string)) {
	domain := c.inside.domain
	if lost != "others" {
		change(domain, platformEnd)
	}
	for _, other := range c.fleet.topology.domains {
		if other != domain && lost != "platform" {
			change(domain, other)
		}
	}
}

// The platform's store refuses every call. Requests that don't need the store must
// succeed. A keyed call whose claim can't be stored must not be executed, and its
// refusal must state that.
func TestStoreOutageFailsOnlyKeyedCalls(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 2, engines: 1, services: 1})
	key := f.grant(testContract("strathallan"))
	f.addFault(f.platformURL, standin.Fault{Path: "/tables/", Mode: standin.FaultRefuse})
	for _, v := range f.vms {
		if status, answer := f.generate(v, key, "store down", 16); status != http.StatusOK {
			t.Errorf("%s: %d %s", v.id, status, answer)
		}
		status, answer := f.charge(v, key, "tree-1", "charge")
		checkRefusal(t, v.id, status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
	}
	if seen := f.counts(f.services[0]).Started; seen != 0 {
		t.Errorf("the service executed %d calls that were refused as not_run", seen)
	}
	f.clearFaults(f.platformURL)
	revision := f.operate(http.MethodPut, "/v1/contracts/late", "", testContract(contract.Account("late")))
	for _, v := range f.vms {
		await(t, v.id+" to have the edit", func() bool { return f.revision(v) >= revision })
	}
}

// checkRefusal checks the status, code and execution of a refusal.
func checkRefusal(t testing.TB, what string, status int, answer []byte, wantStatus int, code fault.Code, execution fault.Execution) {
	t.Helper()
	var refusal entry.Refusal
	if err := json.Unmarshal(answer, &refusal); err != nil {
		t.Errorf("%s: %d %q is not a refusal", what, status, strings.TrimSpace(string(answer)))
		return
	}
	if status != wantStatus || refusal.Code != code || refusal.Execution != execution {
		t.Errorf("%s: %d %s/%s, want %d %s/%s", what, status, refusal.Code, refusal.Execution, wantStatus, code, execution)
	}
}
