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

// Lease is a lease and its holder.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Epoch is the fencing token of the holder's orders.
	Epoch uint64 `json:"epoch"`
}

// Step is the progress of a step.
type Step struct {
	Account   string `json:"account"`
	Step      string `json:"step"`
	Model     string `json:"model"`
	Slots     int    `json:"slots"`
	Committed int64  `json:"committed"`
	Acked     int64  `json:"acked"`
}

// Leases lists the leases in the store. It fails with *fault.StoreUnavailable.
type Leases interface {
	Leases(ctx context.Context) ([]Lease, error)
}

// Steps lists the steps of a client account, or of all client accounts if account is
// empty. It fails with *fault.StoreUnavailable.
type Steps interface {
	Steps(ctx context.Context, account string) ([]Step, error)
}

// Usage lists usage reports. Times are in seconds since the Unix epoch. Both methods fail
// with *fault.StoreUnavailable.
type Usage interface {
	// Reports lists the reports of the usage window that contains the time at.
	Reports(ctx context.Context, at int64) ([]platformapi.UsageReport, error)
	// ReportsSince lists the reports of the usage window that contains the time from,
	// and of all later windows.
	ReportsSince(ctx context.Context, from int64) ([]platformapi.UsageReport, error)
}

// Status is the state of the fleet as the answering VM sees it.
type Status struct {
	VM        string                 `json:"vm"`
	Revision  contract.Revision      `json:"revision"`
	VMs       []VMRevision           `json:"vms"`
	Domains   []Domain               `json:"failureDomains"`
	Leases    []Lease                `json:"leases"`
	Upstreams []platformapi.Upstream `json:"upstreams"`
	// LeasesUnknown is true if the leases could not be read from the store; Leases is
	// then empty.
	LeasesUnknown bool `json:"leasesUnknown"`
}

// Domain summarizes one failure domain as the answering VM sees it.
type Domain struct {
	FailureDomain string `json:"failureDomain"`
	VMs           int    `json:"vms"`
	// Responsive counts the VMs that recently reported their revision; see unresponsiveAfter.
	Responsive int `json:"heard"`
	// Revision is the lowest revision in force on the VMs counted by Responsive.
	Revision  contract.Revision `json:"revision"`
	Upstreams int               `json:"upstreams"`
	// CutOff is true if Responsive is 0.
	CutOff bool `json:"cutOff"`
}

// Confirmation lists the VMs on which a revision is in force, and those on which it is
// not known to be.
type Confirmation struct {
	// Confirmed lists the VMs on which the revision is known to be in force, Pending all
	// others.
	Confirmed []string `json:"confirmed"`
	Pending   []string `json:"pending"`
	// PendingDomains groups the pending VMs by failure domain.
	PendingDomains []PendingDomain `json:"pendingFailureDomains"`
}

// PendingDomain is a failure domain where a revision is not confirmed.
type PendingDomain struct {
	FailureDomain string   `json:"failureDomain"`
	VMs           []string `json:"vms"`
	// CutOff is true if no VM of the failure domain has recently reported its revision.
	CutOff bool `json:"cutOff"`
}

// unresponsiveAfter is the age of the latest report of a VM's revision above which the
// VM counts as unresponsive. It is several times the period of the exchange of digests
// between VMs.
const unresponsiveAfter = 10 * time.Second

// isResponsive reports whether the VM's latest report is not older than
// unresponsiveAfter.
func (v VMRevision) isResponsive() bool {
	return v.Known && v.AgeMillis <= unresponsiveAfter.Milliseconds()
}

// cutOff reports whether no VM of a failure domain has recently reported its revision.
func cutOff(vms []VMRevision, domain string) bool {
	for _, vm := range vms {
		if vm.FailureDomain == domain && vm.isResponsive() {
			return false
		}
	}
	return true
}

// confirmationOf divides the VMs into those where a revision is in force and the others.
func confirmationOf(vms []VMRevision, revision contract.Revision) Confirmation {
	c := Confirmation{Confirmed: []string{}, Pending: []string{}, PendingDomains: []PendingDomain{}}
	index := map[string]int{}
	for _, vm := range vms {
		if vm.Known && vm.Revision >= revision {
			c.Confirmed = append(c.Confirmed, vm.VM)
			continue
		}
		c.Pending = append(c.Pending, vm.VM)
		i, ok := index[vm.FailureDomain]
		if !ok {
			i = len(c.PendingDomains)
			index[vm.FailureDomain] = i
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
	return confirmationOf(s.Fleet.Revisions(), revision), nil
}

// status answers even if the store does not; the leases are then unknown.
func (s *Server) status(r *restful.Request) (any, error) {
	answer := Status{
		VM:        s.VM,
		Revision:  s.View.Load().Revision,
		VMs:       s.Fleet.Revisions(),
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
	index := map[string]int{}
	find := func(name string) *Domain {
		i, ok := index[name]
		if !ok {
			i = len(domains)
			index[name] = i
			domains = append(domains, Domain{FailureDomain: name, CutOff: cutOff(vms, name)})
		}
		return &domains[i]
	}
	for _, vm := range vms {
		d := find(vm.FailureDomain)
		d.VMs++
		if !vm.isResponsive() {
			continue
		}
		d.Responsive++
		if d.Responsive == 1 || vm.Revision < d.Revision {
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

// defaultUsageSpan is how far back the list of usage reports goes if the request has no
// "from". The store retains reports for years, and a list must not read all of them.
const defaultUsageSpan = 24 * time.Hour

// listUsage lists the usage reports since the time of the query parameter "from".
func (s *Server) listUsage(r *restful.Request) (any, error) {
	from := time.Now().Add(-defaultUsageSpan).Unix()
	if text := r.QueryParameter("from"); text != "" {
		given, err := secondsParameter("from", text)
		if err != nil {
			return nil, err
		}
		from = given
	}
	return s.Usage.ReportsSince(r.Request.Context(), from)
}

// windowUsage lists the usage reports of one usage window.
func (s *Server) windowUsage(r *restful.Request) (any, error) {
	at, err := secondsParameter("window", r.PathParameter("window"))
	if err != nil {
		return nil, err
	}
	return s.Usage.Reports(r.Request.Context(), at)
}

// secondsParameter parses a time in seconds since the Unix epoch.
func secondsParameter(field, text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.WithStack(&fault.BadRequest{Field: field, Problem: "must be a number of seconds since 1970"})
	}
	return n, nil
}
