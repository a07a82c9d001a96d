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

// A failure domain loses the platform and the other domains. Its callers would
// be refused although its own engines are well; or, worse, it would serve keys
// for ever that have been withdrawn meanwhile.
func TestCutOffDomainServesWithinItsBound(t *testing.T) {
	t.Parallel()
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1, desks: 1})
	bounded := testContract("strathallan")
	bounded.Isolation.ServeSeconds = 5
	key := f.grant(bounded)
	lasting := f.grant(testContract("brazicod"))
	inside, outside := f.vms[0], f.vms[1]
	f.network.cut("a", platformPlace)
	f.network.cut("a", "b")
	cut := time.Now()

	if status, answer := f.generate(inside, key, "cut off", 16); status != http.StatusOK {
		t.Errorf("within the bound: %d %s", status, answer)
	}
	status, answer := f.charge(inside, key, "tree-1", "charge")
	wantRefusal(t, "keyed call", status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
	if seen := f.counts(f.desks[0]).Started + f.counts(f.desks[1]).Started; seen != 0 {
		t.Errorf("the desks ran %d calls that were refused as not run", seen)
	}

	// Meanwhile the operators withdraw a key, from the side that is not cut off.
	edited := f.operateAt(outside, http.MethodDelete, "/v1/keys/keybrazicod", "", nil)
	await(t, "the bound passes", func() bool {
		status, answer = f.generate(inside, key, "cut off", 16)
		return status != http.StatusOK
	})
	t.Logf("refused %v after the cut, the bound is 5s", time.Since(cut).Round(time.Millisecond))
	wantRefusal(t, "after the bound", status, answer, http.StatusServiceUnavailable, fault.CodeConfigurationStale, fault.NotRun)

	f.network.heal("a", platformPlace)
	f.network.heal("a", "b")
	healed := time.Now()
	await(t, "the edit is in force", func() bool { return f.revision(inside) >= edited })
	t.Logf("the edit was in force %v after the cut healed", time.Since(healed).Round(time.Millisecond))
	await(t, "the domain serves again", func() bool {
		status, _ := f.generate(inside, key, "healed", 16)
		return status == http.StatusOK
	})
	status, answer = f.generate(inside, lasting, "withdrawn", 16)
	wantRefusal(t, "withdrawn meanwhile", status, answer, http.StatusUnauthorized, fault.CodeKeyWithdrawn, fault.NotRun)
}

// A failure domain loses the platform, or the other domains, or both, for a
// while, and each domain in turn. Whatever is lost, its own engines can serve
// its callers; and an edit made meanwhile elsewhere must be in force soon after,
// or an operator's withdrawal is undone by a cable.
func TestEachFailureDomainServesThroughEachCut(t *testing.T) {
	domains := []string{"a", "b", "c"}
	for n, domain := range domains {
		t.Run(domain, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, shape{domains: domains, vms: 1, engines: 1, desks: 1})
			c := &severed{fleet: f, key: f.grant(testContract("strathallan")), inside: f.vms[n], outside: f.vms[(n+1)%len(domains)]}
			for _, lost := range []string{"platform", "others", "both"} {
				c.serveWithout(t, lost)
			}
			charged := int64(0)
			for _, desk := range f.desks {
				charged += f.counts(desk).Started
			}
			if charged != c.charged {
				t.Errorf("the desks ran %d calls, the callers were told of %d", charged, c.charged)
			}
		})
	}
}

// severed is a fleet of which one failure domain is cut off in several ways.
type severed struct {
	fleet           *fleet
	key             string
	inside, outside *vm
	// charged counts the calls that callers were told of as run.
	charged int64
}

// serveWithout cuts, looks what is served, edits outside, and heals.
func (c *severed) serveWithout(t *testing.T, lost string) {
	t.Helper()
	c.sever(lost, c.fleet.network.cut)
	if status, answer := c.fleet.generate(c.inside, c.key, lost, 16); status != http.StatusOK {
		t.Errorf("without %s: generate: %d %s", lost, status, answer)
	}
	c.chargeWithout(t, lost)
	account := contract.Account("late-" + lost)
	before := c.fleet.revision(c.inside)
	revision := c.fleet.operateAt(c.outside, http.MethodPut, "/v1/contracts/"+string(account), "", testContract(account))
	if lost == "platform" {
		await(t, "the edit comes by peers", func() bool { return c.fleet.revision(c.inside) >= revision })
	}
	c.sever(lost, c.fleet.network.heal)
	healed := time.Now()
	await(t, "the edit is in force", func() bool {
		now := c.fleet.revision(c.inside)
		if now < before {
			t.Errorf("without %s: revision went from %d back to %d", lost, before, now)
		}
		return now >= revision
	})
	t.Logf("without %s: edit in force %v after the cut healed", lost, time.Since(healed).Round(time.Millisecond))
	await(t, "keyed calls run again", func() bool {
		status, _ := c.fleet.charge(c.inside, c.key, lost+" after", lost)
		return status == http.StatusOK
	})
	c.charged++
}

// chargeWithout makes a keyed call, which needs the store.
func (c *severed) chargeWithout(t *testing.T, lost string) {
	t.Helper()
	status, answer := c.fleet.charge(c.inside, c.key, lost, lost)
	if lost != "others" {
		wantRefusal(t, lost, status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
		return
	}
	c.charged++
	if status != http.StatusOK {
		t.Errorf("without %s: keyed call: %d %s", lost, status, answer)
	}
}

// sever cuts or heals what the failure domain loses.
func (c *severed) sever(lost string, change func(a, b string)) {
	domain := c.inside.domain
	if lost != "others" {
		change(domain, platformPlace)
	}
	for _, other := range c.fleet.shape.domains {
		if other != domain && lost != "platform" {
			change(domain, other)
		}
	}
}

// The platform's store refuses every call for a while. Work that needs no store
// must not notice; a deposit whose claim can't be stored must not run, and its
// refusal must say so.
func TestStoreRefusesEveryCall(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 2, engines: 1, desks: 1})
	key := f.grant(testContract("strathallan"))
	f.addFault(f.platURL, standin.Fault{Path: "/tables/", Mode: standin.FaultRefuse})
	for _, v := range f.vms {
		if status, answer := f.generate(v, key, "store down", 16); status != http.StatusOK {
			t.Errorf("%s: %d %s", v.id, status, answer)
		}
		status, answer := f.charge(v, key, "tree-1", "charge")
		wantRefusal(t, v.id, status, answer, http.StatusServiceUnavailable, fault.CodeStoreUnavailable, fault.NotRun)
	}
	if seen := f.counts(f.desks[0]).Started; seen != 0 {
		t.Errorf("the desk ran %d calls that were refused as not run", seen)
	}
	f.clearFaults(f.platURL)
	revision := f.operate(http.MethodPut, "/v1/contracts/late", "", testContract(contract.Account("late")))
	for _, v := range f.vms {
		await(t, v.id+" has the edit", func() bool { return f.revision(v) >= revision })
	}
}

// wantRefusal checks a refusal's status, code and execution.
func wantRefusal(t testing.TB, what string, status int, answer []byte, wantStatus int, code fault.Code, execution fault.Execution) {
	t.Helper()
	var refusal entry.Refusal
	if err := json.Unmarshal(answer, &refusal); err != nil {
		t.Errorf("%s: %d %q is no refusal", what, status, strings.TrimSpace(string(answer)))
		return
	}
	if status != wantStatus || refusal.Code != code || refusal.Execution != execution {
		t.Errorf("%s: %d %s/%s, want %d %s/%s", what, status, refusal.Code, refusal.Execution, wantStatus, code, execution)
	}
}
