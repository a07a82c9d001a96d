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

// shape says what a fleet consists of.
type shape struct {
	domains []string
	// vms, engines and desks are counts per failure domain.
	vms, engines, desks int
	// engineArgs go to every engine stand-in.
	engineArgs []string
	// settings change each daemon's settings before the start.
	settings func(settings map[string]any)
}

// vm is one daemon.
type vm struct {
	*process
	id, domain                 string
	callers, operators, peerAt string
}

// upstreamProcess is one engine or service stand-in.
type upstreamProcess struct {
	*process
	platformapi.Upstream
}

// fleet is a running fleet. Its processes end with the test.
type fleet struct {
	t        testing.TB
	shape    shape
	network  *network
	platform *process
	platURL  string
	engines  []upstreamProcess
	desks    []upstreamProcess
	vms      []*vm
	http     *http.Client
}

// startFleet starts a platform, upstreams and daemons, and registers them.
func startFleet(t testing.TB, s shape) *fleet {
	t.Helper()
	f := &fleet{t: t, shape: s, http: &http.Client{Timeout: patience}}
	t.Cleanup(f.http.CloseIdleConnections)
	f.platform = start(t, "platform", "dogwoodpond-standin", "platform")
	f.platURL = "http://" + f.platform.find(t, `listening (\S+)`)[1]
	f.network = newNetwork(t, f.platURL)
	f.post(f.platURL+standin.PathPublish, map[string]string{"model": model})
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
		await(t, v.id+" knows the fleet", func() bool { return f.knowsAll(v) })
	}
	return f
}

// knowsAll reports whether a VM has the platform's lists and has heard of every
// other VM.
func (f *fleet) knowsAll(v *vm) bool {
	s := f.status(v)
	heard := 0
	for _, other := range s.VMs {
		if other.Known {
			heard++
		}
	}
	return heard == len(f.vms) && len(s.Upstreams) == len(f.engines)+len(f.desks)
}

func (f *fleet) startUpstreams(domain string) {
	for n := range f.shape.engines {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("engine-%s%d", domain, n+1), Kind: platformapi.KindEngine, FailureDomain: domain,
			State: platformapi.UpstreamLive, Model: model, Slots: 8,
		}
		f.engines = append(f.engines, f.startUpstream(u, append([]string{"engine"}, f.shape.engineArgs...)))
	}
	for n := range f.shape.desks {
		u := platformapi.Upstream{
			ID: fmt.Sprintf("desk-%s%d", domain, n+1), Kind: platformapi.KindService, FailureDomain: domain,
			State: platformapi.UpstreamLive, Service: "desk", Slots: 64,
		}
		f.desks = append(f.desks, f.startUpstream(u, []string{"service"}))
	}
}

func (f *fleet) startUpstream(u platformapi.Upstream, args []string) upstreamProcess {
	f.t.Helper()
	p := start(f.t, u.ID, "dogwoodpond-standin", args...)
	u.Address = p.find(f.t, `listening (\S+)`)[1]
	f.setUpstream(u)
	return upstreamProcess{process: p, Upstream: u}
}

// setUpstream puts an entry into the platform's list, for example as leaving.
func (f *fleet) setUpstream(u platformapi.Upstream) {
	f.t.Helper()
	f.post(f.platURL+standin.PathAddUpstream, u)
}

// startVM starts a daemon; register puts it on the platform's list.
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
	if f.shape.settings != nil {
		f.shape.settings(settings)
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
	v.callers, v.operators, v.peerAt = bound[1], bound[2], bound[3]
	return v
}

func (f *fleet) register(v *vm) {
	f.t.Helper()
	f.post(f.platURL+standin.PathAddVM, platformapi.VM{
		ID: v.id, FailureDomain: v.domain, Region: region, CallerAddress: v.callers, PeerAddress: v.peerAt,
	})
}

// grant creates a contract for an account and a key under it, waits until every
// VM is ready with them, and returns the key.
func (f *fleet) grant(c contract.Contract) string {
	f.t.Helper()
	f.operate(http.MethodPut, "/v1/contracts/"+string(c.Account), "", c)
	id := "key" + string(c.Account)
	secret := "secret-of-" + string(c.Account) + "-0123456789"
	revision := f.operate(http.MethodPut, "/v1/keys/"+id, "",
		operator.KeyGrant{Account: c.Account, SecretSHA256: contract.HashSecret(secret)})
	for _, v := range f.vms {
		await(f.t, v.id+" has the key", func() bool { return f.ready(v) && f.revision(v) >= revision })
	}
	return contract.KeyPrefix + id + "_" + secret
}

// withdraw withdraws the key that grant created for an account.
func (f *fleet) withdraw(account contract.Account) contract.Revision {
	f.t.Helper()
	return f.operate(http.MethodDelete, "/v1/keys/key"+string(account), "", nil)
}

// operate makes an edit at the first VM and returns its revision.
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
	status, answer := f.call(method, "http://"+v.operators+path, text, func(h http.Header) {
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

// revision returns what a VM itself has in force.
func (f *fleet) revision(v *vm) contract.Revision { return f.status(v).Revision }

// status returns what a VM tells its operators; without an answer it is empty.
func (f *fleet) status(v *vm) operator.Status {
	status, answer := f.call(http.MethodGet, "http://"+v.operators+"/v1/status", nil, func(h http.Header) {
		h.Set("Authorization", "Bearer "+operatorToken)
	})
	var s operator.Status
	if status != http.StatusOK || json.Unmarshal(answer, &s) != nil {
		return operator.Status{}
	}
	return s
}

// ready reports whether the balancer would send callers to the VM.
func (f *fleet) ready(v *vm) bool {
	status, _ := f.call(http.MethodGet, "http://"+v.callers+"/readyz", nil, nil)
	return status == http.StatusOK
}

// call sends one request; the status is 0 when no whole answer came.
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

// post sends JSON to a stand-in and fails the test on a refusal.
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

// addFault sets a fault switch of a stand-in at a base URL; clearFaults clears
// all of them.
func (f *fleet) addFault(base string, fault standin.Fault) { f.post(base+standin.PathFaults, fault) }

func (f *fleet) clearFaults(base string) {
	f.t.Helper()
	if status, _ := f.call(http.MethodDelete, base+standin.PathFaults, nil, nil); status != http.StatusOK {
		f.t.Fatalf("clear faults: %d", status)
	}
}

// counts returns what an upstream stand-in has seen.
func (f *fleet) counts(u upstreamProcess) standin.Counts {
	f.t.Helper()
	var c standin.Counts
	_, answer := f.call(http.MethodGet, "http://"+u.Address+standin.PathCounts, nil, nil)
	if err := json.Unmarshal(answer, &c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// generate makes one whole generate call at a VM.
func (f *fleet) generate(v *vm, key, prompt string, maxTokens int) (int, []byte) {
	return f.call(http.MethodPost, "http://"+v.callers+"/v1/generate", generateBody(prompt, maxTokens, false), bearer(key))
}

func generateBody(prompt string, maxTokens int, streamed bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"prompt":%q,"maxTokens":%d,"stream":%t}`, model, prompt, maxTokens, streamed)
}

// charge makes one keyed call at a VM to the plain service "desk".
func (f *fleet) charge(v *vm, key, idempotencyKey, body string) (int, []byte) {
	return f.call(http.MethodPost, "http://"+v.callers+"/v1/services/desk/deposit", []byte(body), func(h http.Header) {
		bearer(key)(h)
		if idempotencyKey != "" {
			h.Set("Idempotency-Key", idempotencyKey)
		}
	})
}

func bearer(key string) func(http.Header) {
	return func(h http.Header) { h.Set("Authorization", "Bearer "+key) }
}

// testContract returns a contract for process tests.
func testContract(account contract.Account) contract.Contract {
	c := contract.DefaultContract(account)
	c.Isolation.ServeSeconds = int64((10 * time.Minute).Seconds())
	return c
}
