package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"github.com/cespare/xxhash/v2"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
)

// Paths at which tests and scripts configure and inspect the stand-in platform.
const (
	// PathAddVM adds a platformapi.VM to the list, or replaces the one with its ID.
	PathAddVM = "/stand-in/vms"
	// PathAddUpstream adds a platformapi.Upstream to the list, or replaces the one
	// with its ID. An upstream in state "spare" is listed only after an order has
	// started it.
	PathAddUpstream = "/stand-in/upstreams"
	// PathPublish publishes a platformapi.WeightVersion. The platform assigns the
	// version.
	PathPublish = "/stand-in/weights"
	// PathReportLog returns the accepted usage reports.
	PathReportLog = "/stand-in/reports"
	// PathOrderLog returns the orders that were executed.
	PathOrderLog = "/stand-in/orders"
	// PathTableCounts returns TableCounts.
	PathTableCounts = "/stand-in/tables"
)

// stateSpare is the state of an upstream that does not run and that an order can
// start.
const stateSpare platformapi.UpstreamState = "spare"

const (
	probeInterval = 500 * time.Millisecond
	// failedProbesUntilRemoval is the number of unanswered probes since a VM was
	// last ready after which it is removed from the list.
	failedProbesUntilRemoval = 6
)

// TableCounts counts the calls to the table service.
type TableCounts struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
}

type reportKey struct {
	window  int64
	account string
}

// Platform is a stand-in for the users' platform.
type Platform struct {
	faults *faults
	tables *memtables.Tables

	mu        sync.Mutex
	objects   map[string][]byte
	vms       []platformapi.VM
	failures  map[string]int // unanswered probes since the VM was last ready, by VM
	upstreams []platformapi.Upstream
	epochs    map[string]uint64 // newest epoch of orders by failure domain, and of reports
	executed  map[string]bool   // executed orders by ID
	orders    []platformapi.Order
	reports   map[reportKey]platformapi.UsageReport
	reportLog []platformapi.UsageReport
	weights   []platformapi.WeightVersion
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		faults:   newFaults(),
		tables:   memtables.NewTables(),
		objects:  make(map[string][]byte),
		failures: make(map[string]int),
		epochs:   make(map[string]uint64),
		executed: make(map[string]bool),
		reports:  make(map[reportKey]platformapi.UsageReport),
	}
}

// Handler returns the handler of the platform's HTTP interfaces.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformapi.PathGet, p.get)
	mux.HandleFunc("POST "+platformapi.PathScan, p.scan)
	mux.HandleFunc("POST "+platformapi.PathCommit, p.commit)
	mux.HandleFunc("PUT "+platformapi.PathObjects+"{key}", p.putObject)
	mux.HandleFunc("GET "+platformapi.PathObjects+"{key}", p.getObject)
	mux.HandleFunc("GET "+platformapi.PathVMs, listHandler(p, func() any { return p.vms }))
	mux.HandleFunc("GET "+platformapi.PathUpstreams, listHandler(p, func() any { return p.listedUpstreams() }))
	mux.HandleFunc("POST "+platformapi.PathOrders, p.order)
	mux.HandleFunc("GET "+platformapi.PathOffers, listHandler(p, func() any { return p.offers() }))
	mux.HandleFunc("POST "+platformapi.PathReports, p.report)
	mux.HandleFunc("GET "+platformapi.PathWeights, listHandler(p, func() any { return p.weights }))
	mux.HandleFunc("POST "+PathAddVM, p.addVM)
	mux.HandleFunc("POST "+PathAddUpstream, p.addUpstream)
	mux.HandleFunc("POST "+PathPublish, p.publish)
	mux.HandleFunc("GET "+PathReportLog, listHandler(p, func() any { return p.reportLog }))
	mux.HandleFunc("GET "+PathOrderLog, listHandler(p, func() any { return p.orders }))
	mux.HandleFunc("GET "+PathTableCounts, p.counts)
	return p.faults.wrap(mux)
}

// listHandler answers with a value that it reads under the lock, or with 304 if
// the caller already has it according to If-None-Match.
func listHandler(p *Platform, value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		body, err := json.Marshal(value())
		p.mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var request platformapi.GetRequest
	if !readJSON(w, r, &request) {
		return
	}
	row, _ := p.tables.Get(r.Context(), request.Key)
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var request platformapi.ScanRequest
	if !readJSON(w, r, &request) {
		return
	}
	rows, _ := p.tables.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	writeJSON(w, http.StatusOK, rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn platformapi.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	var failed *fault.PreconditionFailed
	if err := p.tables.Commit(r.Context(), txn); errors.As(err, &failed) {
		writeJSON(w, http.StatusPreconditionFailed, platformapi.Refusal{Row: failed.Row, Want: failed.Want, Have: failed.Have})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	reads, commits := p.tables.Counts()
	writeJSON(w, http.StatusOK, TableCounts{Reads: reads, Commits: commits})
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("key")] = body
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) listedUpstreams() []platformapi.Upstream {
	listed := []platformapi.Upstream{}
	for _, u := range p.upstreams {
		if u.State != stateSpare {
			listed = append(listed, u)
		}
	}
	return listed
}

// offers returns the number of spare upstreams by failure domain, model, price and
// whether they are reclaimable.
func (p *Platform) offers() []platformapi.Offer {
	counts := make(map[platformapi.Offer]int)
	for _, u := range p.upstreams {
		if u.State == stateSpare {
			counts[platformapi.Offer{FailureDomain: u.FailureDomain, Model: u.Model, Reclaimable: u.Reclaimable, CentsPerHour: u.CentsPerHour}]++
		}
	}
	offers := []platformapi.Offer{}
	for o, n := range counts {
		o.Available = n
		offers = append(offers, o)
	}
	return offers
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var order platformapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if order.Epoch < p.epochs[order.FailureDomain] {
		writeJSON(w, http.StatusPreconditionFailed, platformapi.Refusal{Epoch: p.epochs[order.FailureDomain]})
		return
	}
	p.epochs[order.FailureDomain] = order.Epoch
	if p.executed[order.ID] {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	if !p.execute(order) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.executed[order.ID] = true
	p.orders = append(p.orders, order)
	writeJSON(w, http.StatusOK, struct{}{})
}

// execute starts a spare upstream or stops a running one. It returns false if no
// upstream matches the order.
func (p *Platform) execute(order platformapi.Order) bool {
	for i := range p.upstreams {
		u := &p.upstreams[i]
		switch {
		case order.Kind == platformapi.OrderStop && u.ID == order.Upstream:
			u.State = stateSpare
			u.Account, u.OrderID = "", ""
			return true
		case order.Kind == platformapi.OrderStart && startable(*u, order):
			u.State = platformapi.UpstreamLive
			u.Account = order.Account
			u.OrderID = order.ID
			return true
		}
	}
	return false
}

func startable(u platformapi.Upstream, order platformapi.Order) bool {
	return u.State == stateSpare &&
		u.FailureDomain == order.FailureDomain &&
		u.Reclaimable == order.Reclaimable &&
		u.Model == order.Model &&
		u.CentsPerHour <= order.CentsPerHour
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	var report platformapi.UsageReport
	if !readJSON(w, r, &report) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	const reports = "reports"
	if report.Epoch < p.epochs[reports] {
		writeJSON(w, http.StatusPreconditionFailed, platformapi.Refusal{Epoch: p.epochs[reports]})
		return
	}
	p.epochs[reports] = report.Epoch
	key := reportKey{window: report.Window, account: report.Account}
	if first, ok := p.reports[key]; ok {
		first.Epoch = report.Epoch
		if first != report {
			w.WriteHeader(http.StatusConflict)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	p.reports[key] = report
	p.reportLog = append(p.reportLog, report)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) addVM(w http.ResponseWriter, r *http.Request) {
	vm := platformapi.VM{State: platformapi.VMLive}
	if !readJSON(w, r, &vm) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.DeleteFunc(p.vms, func(v platformapi.VM) bool { return v.ID == vm.ID })
	p.vms = append(p.vms, vm)
	p.failures[vm.ID] = 0
}

func (p *Platform) addUpstream(w http.ResponseWriter, r *http.Request) {
	u := platformapi.Upstream{State: platformapi.UpstreamLive}
	if !readJSON(w, r, &u) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(v platformapi.Upstream) bool { return v.ID == u.ID })
	p.upstreams = append(p.upstreams, u)
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	var published platformapi.WeightVersion
	if !readJSON(w, r, &published) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	published.PublishedAt = time.Now()
	for i := range p.weights {
		if p.weights[i].Model == published.Model {
			published.Version = p.weights[i].Version + 1
			p.weights[i] = published
			writeJSON(w, http.StatusOK, published)
			return
		}
	}
	published.Version = 1
	p.weights = append(p.weights, published)
	writeJSON(w, http.StatusOK, published)
}

// Probe polls the readiness of the VMs and updates their states in the list until
// ctx ends. The list lags behind the VMs, as that of a real platform does.
func (p *Platform) Probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.probeAll(client)
		}
	}
}

func (p *Platform) probeAll(client *http.Client) {
	p.mu.Lock()
	vms := slices.Clone(p.vms)
	p.mu.Unlock()
	for _, vm := range vms {
		status := readiness(client, vm.CallerAddress)
		p.noteReadiness(vm.ID, status)
	}
}

// readiness returns the status code of /readyz, or 0 if the VM doesn't answer.
func readiness(client *http.Client, address string) int {
	response, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (p *Platform) noteReadiness(id string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.IndexFunc(p.vms, func(v platformapi.VM) bool { return v.ID == id })
	if at < 0 {
		return
	}
	switch status {
	case http.StatusOK:
		p.vms[at].State = platformapi.VMLive
		p.failures[id] = 0
	case 0:
		p.failures[id]++
	default:
		p.vms[at].State = platformapi.VMLeaving
	}
	if p.failures[id] >= failedProbesUntilRemoval {
		p.vms = slices.Delete(p.vms, at, at+1)
	}
}

// containsKey reports whether text contains a caller's key.
func containsKey(text string) bool { return strings.Contains(text, "dwp_") }
