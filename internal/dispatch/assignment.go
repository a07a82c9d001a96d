package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

// assignment holds the upstreams of a pool that this VM may use, as last computed.
type assignment struct {
	computedAt time.Time
	// allUpstreams is the list of all upstreams, upstreams the pool's subset of it.
	allUpstreams []platformapi.Upstream
	upstreams    []platformapi.Upstream
	// ids are the IDs of upstreams, usable the subset of upstreams with a limit.
	ids    []string
	usable []platformapi.Upstream
	// polled holds the upstreams whose load reports the VM polls.
	polled []platformapi.Upstream
	// limits is the number of requests that the VM may have at each upstream.
	limits allocation
	// borrowed marks upstreams outside the VM's quota where it may borrow slots.
	borrowed map[string]bool
	// borrowable holds the engines from which the VM may borrow. It is expensive
	// to compute and reused while the names of engines and VMs, hashed in
	// namesHash, are the same.
	borrowable map[string]bool
	// monitored holds the engines of the VM's failure domain that it polls whether
	// or not it has a quota there. It is reused like borrowable.
	monitored map[string]bool
	namesHash uint64
}

const (
	// assignmentTTL is how long an assignment is used while the list is unchanged.
	assignmentTTL = 250 * time.Millisecond
	// defaultServiceSlots limits a VM's requests in flight at a plain service
	// that does not declare its slots.
	defaultServiceSlots = 64
	// borrowableDivisor sets the part of an engine's slots, 1/borrowableDivisor,
	// that VMs without a quota there may use while the engine reports free slots.
	borrowableDivisor = 4
	// borrowLoadNumerator/borrowLoadDenominator is the load of an engine from
	// which on no VM may borrow its slots.
	borrowLoadNumerator, borrowLoadDenominator = 3, 4
	// reportTTL is the age up to which a load report alone decides whether an engine
	// gets work: by its model, its weight version and its spare capacity.
	reportTTL = 3 * time.Second
	// missesUntilUnreachable is how many load polls in a row must fail before an
	// engine counts as unreachable.
	missesUntilUnreachable = 2
	// unreachableQuorum is how many VMs must find an engine of their failure
	// domain unreachable before its slots are no longer divided.
	unreachableQuorum = 2
)

// candidates returns the upstreams that can take work now.
func (p *poolQueue) candidates(now time.Time) []candidate {
	p.refreshAssignment(now)
	unreachable := p.unreachable()
	list := make([]candidate, 0, len(p.assignment.usable))
	for _, u := range p.assignment.usable {
		if unreachable[u.ID] {
			continue
		}
		if c, ok := p.candidate(u, p.assignment.limits[u.ID], now); ok {
			list = append(list, c)
		}
	}
	return list
}

func (p *poolQueue) candidate(u platformapi.Upstream, limit int, now time.Time) (candidate, bool) {
	c := &p.scheduler.config
	report, reported := c.Loads.Get(u.ID)
	if reported && p.servesOtherModel(u, report, now) {
		return candidate{}, false
	}
	borrowed := p.assignment.borrowed[u.ID]
	if borrowed && !hasSpareCapacity(u, report, now) {
		return candidate{}, false
	}
	state := c.Health.State(u.ID, now)
	switch state {
	case upstream.Ejected:
		return candidate{}, false
	case upstream.Probing:
		limit = 1
	}
	inFlight := p.inFlight[u.ID]
	var version int64
	if reported && now.Sub(report.At) <= reportTTL {
		version = report.WeightVersion
	}
	return candidate{
		version:    version,
		upstream:   u,
		free:       limit - inFlight,
		hasQuota:   !borrowed,
		sameDomain: u.FailureDomain == c.FailureDomain,
		probe:      state == upstream.Probing,
		load:       expectedLoad(u, inFlight, report, now),
	}, true
}

// servesOtherModel reports whether a fresh report names another model or adapter. The
// list lags: such an engine was already moved to another pool and would reject the
// work, which callers would see as failed attempts.
func (p *poolQueue) servesOtherModel(u platformapi.Upstream, report upstream.Report, now time.Time) bool {
	if u.Kind != platformapi.KindEngine || report.At.IsZero() || now.Sub(report.At) > reportTTL {
		return false
	}
	return report.Model != p.name.Model || report.Adapter != p.name.Adapter
}

// hasSpareCapacity reports whether an engine's report is fresh and its load low.
func hasSpareCapacity(u platformapi.Upstream, report upstream.Report, now time.Time) bool {
	if report.At.IsZero() || now.Sub(report.At) > reportTTL {
		return false
	}
	return (report.Running+report.Waiting)*borrowLoadDenominator < u.Slots*borrowLoadNumerator
}

// unreachable returns the engines that did not answer the last load polls. If
// most did not answer, the fault is probably in this VM's own network, and it
// returns nil.
func (p *poolQueue) unreachable() map[string]bool {
	unresponsive := make(map[string]bool)
	reported := 0
	for _, u := range p.assignment.usable {
		report, ok := p.scheduler.config.Loads.Get(u.ID)
		if !ok {
			continue
		}
		reported++
		if report.MissedPolls >= missesUntilUnreachable {
			unresponsive[u.ID] = true
		}
	}
	if len(unresponsive)*2 > reported {
		return nil
	}
	return unresponsive
}

// refreshAssignment recomputes the assignment if it is outdated.
func (p *poolQueue) refreshAssignment(now time.Time) {
	allUpstreams := p.scheduler.config.Directory.Load()
	if now.Sub(p.assignment.computedAt) < assignmentTTL && sameList(allUpstreams, p.assignment.allUpstreams) {
		return
	}
	previous := p.assignment
	a := assignment{computedAt: now, allUpstreams: allUpstreams, limits: make(allocation), borrowed: make(map[string]bool), borrowable: previous.borrowable, monitored: previous.monitored, namesHash: previous.namesHash}
	for _, u := range allUpstreams {
		if serves(u, p.name) {
			a.upstreams = append(a.upstreams, u)
			a.ids = append(a.ids, u.ID)
		}
	}
	switch {
	case p.name.Kind == platformapi.KindService:
		a.assignAll(defaultServiceSlots)
	case p.scheduler.config.Members == nil:
		a.assignAll(1)
	default:
		a.assignShared(p.scheduler.config.VM, p.scheduler.config.FailureDomain, p.name.hash(), p.scheduler.config.Members())
	}
	for _, u := range a.upstreams {
		if a.limits[u.ID] > 0 {
			a.usable = append(a.usable, u)
		}
		if a.limits[u.ID] > 0 || a.monitored[u.ID] {
			a.polled = append(a.polled, u)
		}
	}
	p.assignment = a
}

// assignAll lets the VM fill all slots; defaultSlots applies to upstreams that declare none.
func (a *assignment) assignAll(defaultSlots int) {
	for _, u := range a.upstreams {
		a.limits[u.ID] = u.Slots
		if u.Slots == 0 {
			a.limits[u.ID] = defaultSlots
		}
	}
}

// assignShared sets the VM's quotas and borrowed slots. Reclaimable engines are divided
// separately: not all work may run there, and a VM with quotas on reclaimable engines only
// could not run the rest.
func (a *assignment) assignShared(vm, domain string, pool uint32, members []Member) {
	list := reachable(a.upstreams, members)
	for _, reclaimable := range []bool{false, true} {
		a.assignQuotas(vm, pool, slices.DeleteFunc(slices.Clone(list), func(u platformapi.Upstream) bool {
			return u.Reclaimable != reclaimable
		}), members)
	}
	a.addBorrowed(vm, domain, members)
	a.ensureOneSlot(vm, domain)
}

// assignQuotas sets the VM's quotas on a list of engines.
func (a *assignment) assignQuotas(vm string, pool uint32, list []platformapi.Upstream, members []Member) {
	byDomain := make(map[string][]engineSlots)
	for _, u := range list {
		byDomain[u.FailureDomain] = append(byDomain[u.FailureDomain], engineSlots{upstream: u.ID, slots: max(1, u.Slots)})
	}
	for domain, engines := range byDomain {
		for id, n := range apportion(vm, pool, participants(domain, byDomain, members), engines) {
			a.limits[id] = n
		}
	}
}

// reachable returns the engines whose slots are divided: those that answer. The
// list lags, so an engine can be dead and still listed. A VM whose whole quota is on
// such an engine could run nothing, and its callers would wait for an engine that
// never answers while others are idle. The VMs that monitor the engine continue to
// poll it, so that it is included again once it answers.
//
// An engine counts as unreachable if two VMs of its own failure domain report it, or
// the only VM there does. One VM with a broken network, a wrong digest, or a network
// failure between failure domains must not take engines away from VMs that reach them.
// If no engine of a failure domain seems to answer, all of them stay.
func reachable(list []platformapi.Upstream, members []Member) []platformapi.Upstream {
	votes, domainVMs := countVotes(members)
	if len(votes) == 0 {
		return list
	}
	isUnreachable := func(u platformapi.Upstream) bool {
		domain := u.FailureDomain
		return votes[vote{domain: domain, engine: engineHash(u.ID)}] >= max(1, min(unreachableQuorum, domainVMs[domain]))
	}
	reachableCount := make(map[string]int)
	for _, u := range list {
		if !isUnreachable(u) {
			reachableCount[u.FailureDomain]++
		}
	}
	return slices.DeleteFunc(slices.Clone(list), func(u platformapi.Upstream) bool {
		return isUnreachable(u) && reachableCount[u.FailureDomain] > 0
	})
}

// vote identifies reports by VMs of a failure domain that an engine is unreachable.
type vote struct {
	domain string
	engine uint32
}

// countVotes returns how many VMs of each failure domain find each engine
// unreachable, and the number of VMs with known demand in each failure domain.
func countVotes(members []Member) (votes map[vote]int, domainVMs map[string]int) {
	votes, domainVMs = make(map[vote]int), make(map[string]int)
	for _, m := range members {
		if !m.DemandKnown {
			continue
		}
		domainVMs[m.FailureDomain]++
		for _, id := range slices.Compact(slices.Sorted(slices.Values(m.Unreachable))) {
			votes[vote{domain: m.FailureDomain, engine: id}]++
		}
	}
	return votes, domainVMs
}

// participants returns the VMs that share the engines of a failure domain: its own
// VMs, and those whose failure domain has no engine of the pool. Engines of a
// failure domain without live VMs are shared by all VMs.
func participants(domain string, byDomain map[string][]engineSlots, members []Member) []Member {
	var list []Member
	hasOwnVM := false
	for _, m := range members {
		_, hasEngines := byDomain[m.FailureDomain]
		hasOwnVM = hasOwnVM || m.FailureDomain == domain
		if m.FailureDomain == domain || !hasEngines {
			list = append(list, m)
		}
	}
	if !hasOwnVM {
		return members
	}
	return list
}

// addBorrowed adds the engines from which the VM may borrow slots.
func (a *assignment) addBorrowed(vm, domain string, members []Member) {
	if hash := hashNames(a.upstreams, members); hash != a.namesHash || a.borrowable == nil {
		a.namesHash = hash
		a.borrowable = borrowableEngines(vm, a.upstreams, members)
		a.monitored = monitoredEngines(vm, domain, a.upstreams, members)
	}
	for _, u := range a.upstreams {
		if a.borrowable[u.ID] && a.limits[u.ID] == 0 {
			a.limits[u.ID] = 1
			a.borrowed[u.ID] = true
		}
	}
}

// hashNames returns an order-independent hash of the names of engines and VMs.
func hashNames(list []platformapi.Upstream, members []Member) uint64 {
	var sum uint64
	for _, u := range list {
		sum += xxhash.Sum64String("engine/" + u.ID)
	}
	for _, m := range members {
		sum += xxhash.Sum64String("vm/" + m.VM)
	}
	return sum
}

// borrowableEngines returns the engines from which a VM may borrow slots. Each engine
// lets only a few VMs borrow: a fleet that sees one idle engine would overload it.
func borrowableEngines(vm string, list []platformapi.Upstream, members []Member) map[string]bool {
	borrowable := make(map[string]bool)
	for _, u := range list {
		if isTopRanked(u.ID, vm, members, max(1, u.Slots/borrowableDivisor)) {
			borrowable[u.ID] = true
		}
	}
	return borrowable
}

// monitoredEngines returns the engines of a failure domain that a VM must poll. Each
// engine is monitored by unreachableQuorum VMs, as many as can declare it unreachable.
func monitoredEngines(vm, domain string, list []platformapi.Upstream, members []Member) map[string]bool {
	domainMembers := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.FailureDomain != domain })
	monitored := make(map[string]bool)
	for _, u := range list {
		if u.FailureDomain == domain && isTopRanked(u.ID, vm, domainMembers, unreachableQuorum) {
			monitored[u.ID] = true
		}
	}
	return monitored
}

// ensureOneSlot gives the VM one slot if it has no quota on engines that take all work,
// so that its callers are served, if slowly, when more VMs than slots share a pool. The
// overcommit is at most one request for each VM beyond the number of slots.
func (a *assignment) ensureOneSlot(vm, domain string) {
	best := -1
	hasNonReclaimable := slices.ContainsFunc(a.upstreams, func(u platformapi.Upstream) bool { return !u.Reclaimable })
	for i, u := range a.upstreams {
		if u.Reclaimable && hasNonReclaimable {
			continue
		}
		if a.limits[u.ID] > 0 && !a.borrowed[u.ID] {
			return
		}
		if best < 0 || isPreferred(vm, domain, u, a.upstreams[best]) {
			best = i
		}
	}
	if best >= 0 {
		a.limits[a.upstreams[best].ID] = 1
		delete(a.borrowed, a.upstreams[best].ID)
	}
}

func isPreferred(vm, domain string, a, b platformapi.Upstream) bool {
	if sameDomain := a.FailureDomain == domain; sameDomain != (b.FailureDomain == domain) {
		return sameDomain
	}
	return engineRank(a.ID, vm) > engineRank(b.ID, vm)
}

// idlePollTimeout is how long after a pool's last request its engines are polled while no
// request is queued.
const idlePollTimeout = 10 * time.Second

// polled returns the engines whose load the VM polls: those that it may use or
// monitors, while it has work for the pool.
func (p *poolQueue) polled() []platformapi.Upstream {
	if p.name.Kind != platformapi.KindEngine {
		return nil
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.total == 0 && now.Sub(p.lastUsed) > idlePollTimeout {
		return nil
	}
	p.refreshAssignment(now)
	return p.assignment.polled
}
