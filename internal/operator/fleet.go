package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// Lease tells who holds a lease.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Epoch is the fencing number of the holder's orders.
	Epoch uint64 `json:"epoch"`
}

// Step tells how far a step is.
type Step struct {
	Account   string `json:"account"`
	Step      string `json:"step"`
	Model     string `json:"model"`
	Slots     int    `json:"slots"`
	Committed int64  `json:"committed"`
	Acked     int64  `json:"acked"`
}

// Leases lists the leases that the table service holds. It fails with
// *fault.StoreUnavailable.
type Leases interface {
	Leases(ctx context.Context) ([]Lease, error)
}

// Steps lists the steps of an account, or of all when account is empty. It
// fails with *fault.StoreUnavailable.
type Steps interface {
	Steps(ctx context.Context, account string) ([]Step, error)
}

// Usage lists usage reports. Times are in seconds since the Unix epoch. Both
// methods fail with *fault.StoreUnavailable.
type Usage interface {
	// Reports lists the reports of the window that holds a time.
	Reports(ctx context.Context, at int64) ([]platformapi.UsageReport, error)
	// ReportsSince lists the reports of that window and all later ones.
	ReportsSince(ctx context.Context, from int64) ([]platformapi.UsageReport, error)
}

// Status is what an operator sees at a glance.
type Status struct {
	VM        string                 `json:"vm"`
	Revision  contract.Revision      `json:"revision"`
	VMs       []VMRevision           `json:"vms"`
	Domains   []Domain               `json:"failureDomains"`
	Leases    []Lease                `json:"leases"`
	Upstreams []platformapi.Upstream `json:"upstreams"`
	// LeasesUnknown is true when the store did not answer, so that Leases is
	// empty for want of knowledge.
	LeasesUnknown bool `json:"leasesUnknown"`
}

// Domain sums up one failure domain as the answering VM sees it.
type Domain struct {
	FailureDomain string `json:"failureDomain"`
	VMs           int    `json:"vms"`
	// Heard is how many VMs were heard of lately.
	Heard int `json:"heard"`
	// Revision is the lowest revision in force on a VM that was heard of.
	Revision  contract.Revision `json:"revision"`
	Upstreams int               `json:"upstreams"`
	// CutOff is true when no VM of the failure domain was heard of lately.
	CutOff bool `json:"cutOff"`
}

// Confirmation tells where a revision is in force.
type Confirmation struct {
	// Confirmed and Pending name the VMs where the revision is, and is not yet
	// known to be, in force.
	Confirmed []string `json:"confirmed"`
	Pending   []string `json:"pending"`
	// PendingDomains groups the pending VMs by failure domain.
	PendingDomains []PendingDomain `json:"pendingFailureDomains"`
}

// PendingDomain is a failure domain where a revision is not confirmed.
type PendingDomain struct {
	FailureDomain string   `json:"failureDomain"`
	VMs           []string `json:"vms"`
	// CutOff is true when no VM of the failure domain was heard of lately.
	CutOff bool `json:"cutOff"`
}

// silentAfter is how long a VM may be silent before it counts as not heard of.
// It is several times the period of the exchange between VMs.
const silentAfter = 10 * time.Second

func (v VMRevision) heardLately() bool {
	return v.Known && v.HeardMillis <= silentAfter.Milliseconds()
}

// cutOff reports whether no VM of a failure domain was heard of lately.
func cutOff(vms []VMRevision, domain string) bool {
	for _, vm := range vms {
		if vm.FailureDomain == domain && vm.heardLately() {
			return false
		}
	}
	return true
}

// confirmationOf sorts the VMs by whether a revision is in force on them.
func confirmationOf(vms []VMRevision, revision contract.Revision) Confirmation {
	c := Confirmation{Confirmed: []string{}, Pending: []string{}, PendingDomains: []PendingDomain{}}
	at := map[string]int{}
	for _, vm := range vms {
		if vm.Known && vm.Revision >= revision {
			c.Confirmed = append(c.Confirmed, vm.VM)
			continue
		}
		c.Pending = append(c.Pending, vm.VM)
		i, ok := at[vm.FailureDomain]
		if !ok {
			i = len(c.PendingDomains)
			at[vm.FailureDomain] = i
			c.PendingDomains = append(c.PendingDomains, PendingDomain{
				FailureDomain: vm.FailureDomain,
				CutOff:        cutOff(vms, vm.FailureDomain),
			})
		}
		c.PendingDomains[i].VMs = append(c.PendingDomains[i].VMs, vm.VM)
	}
	return c
}

func (s *Server) confirmation(r *restful.Request) (any, error) {
	revision, err := revisionParameter(r.PathParameter("revision"))
	if err != nil {
		return nil, err
	}
	return confirmationOf(s.Fleet.InForce(), revision), nil
}

// status answers also while the store is down; the leases are then unknown.
func (s *Server) status(r *restful.Request) (any, error) {
	answer := Status{
		VM:        s.VM,
		Revision:  s.View.Load().Revision,
		VMs:       s.Fleet.InForce(),
		Upstreams: s.Upstreams(),
	}
	answer.Domains = domainsOf(answer.VMs, answer.Upstreams)
	leases, err := s.Leases.Leases(r.Request.Context())
	answer.Leases = leases
	answer.LeasesUnknown = err != nil
	return answer, nil
}

func domainsOf(vms []VMRevision, upstreams []platformapi.Upstream) []Domain {
	domains := []Domain{}
	at := map[string]int{}
	find := func(name string) *Domain {
		i, ok := at[name]
		if !ok {
			i = len(domains)
			at[name] = i
			domains = append(domains, Domain{FailureDomain: name, CutOff: cutOff(vms, name)})
		}
		return &domains[i]
	}
	for _, vm := range vms {
		d := find(vm.FailureDomain)
		d.VMs++
		if !vm.heardLately() {
			continue
		}
		d.Heard++
		if d.Heard == 1 || vm.Revision < d.Revision {
			d.Revision = vm.Revision
		}
	}
	for _, u := range upstreams {
		find(u.FailureDomain).Upstreams++
	}
	return domains
}

func (s *Server) listSteps(r *restful.Request) (any, error) {
	return s.Steps.Steps(r.Request.Context(), r.QueryParameter("account"))
}

// usageSpan is how far back the list of reports goes unless it is told: the
// store keeps reports for years, and a list must not read them all.
const usageSpan = 24 * time.Hour

// listUsage lists the reports since a time.
func (s *Server) listUsage(r *restful.Request) (any, error) {
	from := time.Now().Add(-usageSpan).Unix()
	if text := r.QueryParameter("from"); text != "" {
		given, err := secondsParameter("from", text)
		if err != nil {
			return nil, err
		}
		from = given
	}
	return s.Usage.ReportsSince(r.Request.Context(), from)
}

// windowUsage lists the reports of one window.
func (s *Server) windowUsage(r *restful.Request) (any, error) {
	at, err := secondsParameter("window", r.PathParameter("window"))
	if err != nil {
		return nil, err
	}
	return s.Usage.Reports(r.Request.Context(), at)
}

// secondsParameter reads a time in seconds since the Unix epoch.
func secondsParameter(field, text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.WithStack(&fault.BadRequest{Field: field, Problem: "must be a number of seconds since 1970"})
	}
	return n, nil
}
