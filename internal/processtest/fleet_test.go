package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/standin"
)

const (
	model         = "berry-1"
	region        = "tayside"
	operatorToken = "process-test-operator"
)

// topology defines the processes of a fleet.
type topology struct {
	domains []string
	// vms, engines and services are numbers per failure domain.
	vms, engines, services int
	// engineArgs are the arguments of every stand-in engine.
	engineArgs []string
	// settings, if set, changes the settings of each daemon before its start.
	settings func(settings map[string]any)
}

// vm is a VM that runs one daemon.
type vm struct {
	*process
	id, domain                                  string
	callerAddress, operatorAddress, peerAddress string
}

// upstreamProcess is a stand-in engine or service.
type upstreamProcess struct {
	*process
	platformapi.Upstream
}

// fleet is a platform with upstreams and VMs, each a process of its own. The
// processes are killed when the test ends.
type fleet struct {
	t           testing.TB
	topology    topology
	network     *network
	platform    *process
	platformURL string
	engines     []upstreamProcess
	services    []upstreamProcess
	vms         []*vm
	http        *http.Client
}

// startFleet starts a platform, upstreams and daemons, registers them, and waits
// until every VM knows the others.
func startFleet(t testing.TB, s topology) *fleet {
	t.Helper()
	f := &fleet{t: t, topology: s, http: &http.Client{Timeout: waitTimeout}}
	t.Cleanup(f.http.CloseIdleConnections)
	f.platform = start(t, "platform", "dogwoodpond-standin", "platform")
	f.platformURL = "http://" + f.platform.find(t, `listening (\S+)`)[1]
	f.network = newNetwork(t, f.platformURL)
	f.post(f.platformURL+standin.PathPublish, map[string]string{"model": model})
	for _, domain := range s.domains {
		f.startUpstreams(domain)
	}
	for _, domain := range s.domains {
		for n := range s.vms {
			f.vms = append(f.vms, f.startVM(fmt.Sprintf("vm-%s%d", domain, n+1), domain))
		}
	}
	for _, v := range f.vms {
		f.register(v)
	}
	for _, v := range f.vms {
		await(t, v.id+" to know the fleet", func() bool { return f.knowsAll(v) })
	}
	return f
}

// knowsAll reports whether a VM has the platform's list of upstreams and knows
// every VM.
func (f *fleet) knowsAll(v *vm) bool {
	s := f.status(v)
	known := 0
	for _, other := range s.VMs {
		if other.Known {
			known++
		}
	}
	return known == len(f.vms) && len(s.Upstreams) == len(f.engines)+len(f.services)
}

func (f *fleet) startUpstreams(domain string) {
	for n := range f.topology.engines {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("engine-%s%d", domain, n+1), Kind: platformapi.KindEngine, FailureDomain: domain,
			State: platformapi.UpstreamLive, Model: model, Slots: 8,
		}
		f.engines = append(f.engines, f.startUpstream(u, append([]string{"engine"}, f.topology.engineArgs...)))
	}
	for n := range f.topology.services {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("desk-%s%d", domain, n+1), Kind: platformapi.KindService, FailureDomain: domain,
			State: platformapi.UpstreamLive, Service: "desk", Slots: 64,
		}
		f.services = append(f.services, f.startUpstream(u, []string{"service"}))
	}
}

func (f *fleet) startUpstream(u platformapi.Upstream, args []string) upstreamProcess {
	f.t.Helper()
	p := start(f.t, u.ID, "dogwoodpond-standin", args...)
	u.Address = p.find(f.t, `listening (\S+)`)[1]
	f.setUpstream(u)
	return upstreamProcess{process: p, Upstream: u}
}

// setUpstream adds or replaces an entry in the platform's list of upstreams, for
// example to list it as leaving.
func (f *fleet) setUpstream(u platformapi.Upstream) {
	f.t.Helper()
	f.post(f.platformURL+standin.PathAddUpstream, u)
}

// startVM starts a daemon. It doesn't add it to the platform's list; register does.
func (f *fleet) startVM(id, domain string) *vm {
	f.t.Helper()
	settings := map[string]any{
		"vm": id, "failureDomain": domain, "region": region,
		"callerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
		"platformUrl":         f.network.gateway(domain),
		"operatorTokenSha256": contract.HashSecret(operatorToken),
		"leaseTermMillis":     2000, "digestPeriodMillis": 200, "revisionPollMillis": 300,
		"usageWindowSeconds": 5, "drainSeconds": 60, "orderTimeoutMillis": 1000,
	}
	if f.topology.settings != nil {
		f.topology.settings(settings)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), id+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	v := &vm{id: id, domain: domain, process: start(f.t, id, "dogwoodpondd", "--settings", path)}
	bound := v.find(f.t, `callers=(\S+) operators=(\S+) peers=([0-9.:]+)`)
	v.callerAddress, v.operatorAddress, v.peerAddress = bound[1], bound[2], bound[3]
	return v
}

func (f *fleet) register(v *vm) {
	f.t.Helper()
	f.post(f.platformURL+standin.PathAddVM, platformapi.VM{
		ID: v.id, FailureDomain: v.domain, Region: region, CallerAddress: v.callerAddress, PeerAddress: v.peerAddress,
	})
}

// grant creates a contract and a key for its account, waits until they are in
// force on every VM, and returns the key.
func (f *fleet) grant(c contract.Contract) string {
	f.t.Helper()
	f.operate(http.MethodPut, "/v1/contracts/"+string(c.Account), "", c)
	id := "key" + string(c.Account)
	secret := "secret-of-" + string(c.Account) + "-0123456789"
	revision := f.operate(http.MethodPut, "/v1/keys/"+id, "",
		operator.KeyGrant{Account: c.Account, SecretSHA256: contract.HashSecret(secret)})
	for _, v := range f.vms {
		await(f.t, v.id+" to have the key", func() bool { return f.ready(v) && f.revision(v) >= revision })
	}
	return contract.KeyPrefix + id + "_" + secret
}

// withdraw withdraws the key that grant created for an account.
func (f *fleet) withdraw(account contract.Account) contract.Revision {
	f.t.Helper()
	return f.operate(http.MethodDelete, "/v1/keys/key"+string(account), "", nil)
}

// operate makes an edit at the first VM and returns the edit's revision.
func (f *fleet) operate(method, path, base string, body any) contract.Revision {
	f.t.Helper()
	return f.operateAt(f.vms[0], method, path, base, body)
}

func (f *fleet) operateAt(v *vm, method, path, base string, body any) contract.Revision {
	f.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	status, answer := f.call(method, "http://"+v.operatorAddress+path, text, func(h http.Header) {
		h.Set("Authorization", "Bearer "+operatorToken)
		h.Set(operator.HeaderEditor, "process test")
		if base != "" {
			h.Set(operator.HeaderIfMatch, base)
		}
	})
	if status != http.StatusOK {
		f.t.Fatalf("%s %s: %d %s", method, path, status, answer)
	}
	var edit operator.EditAnswer
	if err := json.Unmarshal(answer, &edit); err != nil {
		f.t.Fatal(err)
	}
	return edit.Entry.Revision
}

// revision returns the configuration revision that is in force on a VM.
func (f *fleet) revision(v *vm) contract.Revision { return f.status(v).Revision }

// status returns the operators' status of a VM. It is empty if the VM doesn't
// answer.
func (f *fleet) status(v *vm) operator.Status {
	status, answer := f.call(http.MethodGet, "http://"+v.operatorAddress+"/v1/status", nil, func(h http.Header) {
		h.Set("Authorization", "Bearer "+operatorToken)
	})
	var s operator.Status
	if status != http.StatusOK || json.Unmarshal(answer, &s) != nil {
		return operator.Status{}
	}
	return s
}

// ready reports whether the VM is ready for callers according to /readyz.
func (f *fleet) ready(v *vm) bool {
	status, _ := f.call(http.MethodGet, "http://"+v.callerAddress+"/readyz", nil, nil)
	return status == http.StatusOK
}

// call sends one request. The status is 0 if no complete answer arrived.
func (f *fleet) call(method, target string, body []byte, header func(http.Header)) (int, []byte) {
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0, nil
	}
	if header != nil {
		header(request.Header)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, answer
	}
	return response.StatusCode, answer
}

// post sends JSON to a stand-in. The test fails unless the stand-in answers 200.
func (f *fleet) post(target string, body any) {
	f.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	if status, answer := f.call(http.MethodPost, target, text, nil); status != http.StatusOK {
		f.t.Fatalf("post %s: %d %s", target, status, answer)
	}
}

// addFault injects a fault into the stand-in at a base URL.
func (f *fleet) addFault(base string, fault standin.Fault) { f.post(base+standin.PathFaults, fault) }

// clearFaults clears all faults of the stand-in at a base URL.
func (f *fleet) clearFaults(base string) {
	f.t.Helper()
	if status, _ := f.call(http.MethodDelete, base+standin.PathFaults, nil, nil); status != http.StatusOK {
		f.t.Fatalf("clear faults: %d", status)
	}
}

// counts returns the counts of a stand-in upstream.
func (f *fleet) counts(u upstreamProcess) standin.Counts {
	f.t.Helper()
	var c standin.Counts
	_, answer := f.call(http.MethodGet, "http://"+u.Address+standin.PathCounts, nil, nil)
	if err := json.Unmarshal(answer, &c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// generate makes one generate call without streaming at a VM.
func (f *fleet) generate(v *vm, key, prompt string, maxTokens int) (int, []byte) {
	return f.call(http.MethodPost, "http://"+v.callerAddress+"/v1/generate", generateBody(prompt, maxTokens, false), bearer(key))
}

func generateBody(prompt string, maxTokens int, streamed bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"prompt":%q,"maxTokens":%d,"stream":%t}`, model, prompt, maxTokens, streamed)
}

// charge makes one call to the plain service "desk" through a VM. The call has an
// idempotency key unless idempotencyKey is empty.
func (f *fleet) charge(v *vm, key, idempotencyKey, body string) (int, []byte) {
	return f.call(http.MethodPost, "http://"+v.callerAddress+"/v1/services/desk/deposit", []byte(body), func(h http.Header) {
		bearer(key)(h)
		if idempotencyKey != "" {
			h.Set("Idempotency-Key", idempotencyKey)
		}
	})
}

func bearer(key string) func(http.Header) {
	return func(h http.Header) { h.Set("Authorization", "Bearer "+key) }
}

// testContract returns the default contract of an account, with an
// isolation.serveSeconds that is longer than any test.
func testContract(account contract.Account) contract.Contract {
	c := contract.DefaultContract(account)
	c.Isolation.ServeSeconds = int64((10 * time.Minute).Seconds())
	return c
}
