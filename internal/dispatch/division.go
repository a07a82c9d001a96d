package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

// division is what of a pool's upstreams this VM may use, as last computed.
type division struct {
	at time.Time
	// source is the list of all upstreams, list the pool's part of it.
	source []platform.Upstream
	list   []platform.Upstream
	// ids are the names of the list, mine the part of it that has a limit.
	ids  []string
	mine []platform.Upstream
	// watch are the upstreams whose load reports the VM asks for.
	watch []platform.Upstream
	// limits tells how many requests the VM may have at each upstream.
	limits parts
	// borrowed marks upstreams outside the VM's part that lend it places.
	borrowed map[string]bool
	// lending holds the engines that lend to the VM as long as the names of
	// engines and VMs stay the same, which names tells; it is dear to compute.
	lending map[string]bool
	// keeping holds the engines of the VM's failure domain that it asks for their
	// load whether or not it has a part of them; it is kept like lending.
	keeping map[string]bool
	names   uint64
}

const (
	// divisionPeriod is how long a division is used while the list stays.
	divisionPeriod = 250 * time.Millisecond
	// serviceSlots bounds what a VM has in flight at a plain service that
	// names no slots.
	serviceSlots = 64
	// lentShare is the part of an engine's slots, as one in so many, that VMs
	// without a part there may use while the engine reports room.
	lentShare = 4
	// busyNumerator and busyDenominator are the load above which an engine lends
	// nothing.
	busyNumerator, busyDenominator = 3, 4
	// reportFresh is how old a report may be to decide anything by itself.
	reportFresh = 3 * time.Second
	// missesUntilUnreachable is how many load reports in a row may fail.
	missesUntilUnreachable = 2
	// votesUntilGone VMs must find an engine of their failure domain unreachable
	// before it is left out of the sharing.
	votesUntilGone = 2
)

// candidates returns the upstreams that may take work now.
func (p *poolQueue) candidates(now time.Time) []candidate {
	p.divide(now)
	unreachable := p.unreachable()
	list := make([]candidate, 0, len(p.division.mine))
	for _, u := range p.division.mine {
		if unreachable[u.ID] {
			continue
		}
		if c, ok := p.candidate(u, p.division.limits[u.ID], now); ok {
			list = append(list, c)
		}
	}
	return list
}

func (p *poolQueue) candidate(u platform.Upstream, limit int, now time.Time) (candidate, bool) {
	c := &p.scheduler.config
	report, reported := c.Loads.Get(u.ID)
	if reported && p.servesOther(u, report, now) {
		return candidate{}, false
	}
	borrowed := p.division.borrowed[u.ID]
	if borrowed && !lendsNow(u, report, now) {
		return candidate{}, false
	}
	standing := c.Health.Standing(u.ID, now)
	switch standing {
	case upstream.Ejected:
		return candidate{}, false
	case upstream.Probing:
		limit = 1
	}
	own := p.inFlight[u.ID]
	var version int64
	if reported && now.Sub(report.At) <= reportFresh {
		version = report.WeightVersion
	}
	return candidate{
		version:  version,
		upstream: u,
		room:     limit - own,
		own:      !borrowed,
		near:     u.FailureDomain == c.FailureDomain,
		probe:    standing == upstream.Probing,
		load:     expectedLoad(u, own, report, now),
	}, true
}

// servesOther reports whether a fresh report names another model or adapter. The
// list lags: the engine has been ordered to another pool and would refuse, which
// callers would notice as failed attempts.
func (p *poolQueue) servesOther(u platform.Upstream, report upstream.Report, now time.Time) bool {
	if u.Kind != platform.KindEngine || report.At.IsZero() || now.Sub(report.At) > reportFresh {
		return false
	}
	return report.Model != p.name.Model || report.Adapter != p.name.Adapter
}

// lendsNow reports whether an engine's report is fresh and shows room.
func lendsNow(u platform.Upstream, report upstream.Report, now time.Time) bool {
	if report.At.IsZero() || now.Sub(report.At) > reportFresh {
		return false
	}
	return (report.Running+report.Waiting)*busyDenominator < u.Slots*busyNumerator
}

// unreachable returns the engines that did not answer the last asks for their
// load. When most did not, the fault is likely this VM's own, and none counts.
func (p *poolQueue) unreachable() map[string]bool {
	silent := make(map[string]bool)
	asked := 0
	for _, u := range p.division.mine {
		report, ok := p.scheduler.config.Loads.Get(u.ID)
		if !ok {
			continue
		}
		asked++
		if report.Misses >= missesUntilUnreachable {
			silent[u.ID] = true
		}
	}
	if len(silent)*2 > asked {
		return nil
	}
	return silent
}

// divide brings the division up to date.
func (p *poolQueue) divide(now time.Time) {
	source := p.scheduler.config.Directory.Load()
	if now.Sub(p.division.at) < divisionPeriod && sameList(source, p.division.source) {
		return
	}
	old := p.division
	d := division{at: now, source: source, limits: make(parts), borrowed: make(map[string]bool), lending: old.lending, keeping: old.keeping, names: old.names}
	for _, u := range source {
		if serves(u, p.name) {
			d.list = append(d.list, u)
			d.ids = append(d.ids, u.ID)
		}
	}
	switch {
	case p.name.Kind == platform.KindService:
		d.unshared(serviceSlots)
	case p.scheduler.config.Members == nil:
		d.unshared(1)
	default:
		d.shared(p.scheduler.config.VM, p.scheduler.config.FailureDomain, p.name.hash(), p.scheduler.config.Members())
	}
	for _, u := range d.list {
		if d.limits[u.ID] > 0 {
			d.mine = append(d.mine, u)
		}
		if d.limits[u.ID] > 0 || d.keeping[u.ID] {
			d.watch = append(d.watch, u)
		}
	}
	p.division = d
}

// unshared lets the VM fill all slots; slots stands in where none are named.
func (d *division) unshared(slots int) {
	for _, u := range d.list {
		d.limits[u.ID] = u.Slots
		if u.Slots == 0 {
			d.limits[u.ID] = slots
		}
	}
}

// shared gives the VM its parts of the engines. Reclaimable engines are shared apart: not
// all work may run there, and a VM with parts of no others could not run the rest.
func (d *division) shared(vm, domain string, pool uint32, members []Member) {
	list := reachable(d.list, members)
	for _, reclaimable := range []bool{false, true} {
		d.share(vm, pool, slices.DeleteFunc(slices.Clone(list), func(u platform.Upstream) bool {
			return u.Reclaimable != reclaimable
		}), members)
	}
	d.borrow(vm, domain, members)
	d.atLeastOne(vm, domain)
}

// share gives the VM its parts of engines of one kind.
func (d *division) share(vm string, pool uint32, list []platform.Upstream, members []Member) {
	byDomain := make(map[string][]place)
	for _, u := range list {
		byDomain[u.FailureDomain] = append(byDomain[u.FailureDomain], place{upstream: u.ID, slots: max(1, u.Slots)})
	}
	for engines, places := range byDomain {
		for id, n := range apportion(vm, pool, participants(engines, byDomain, members), places) {
			d.limits[id] = n
		}
	}
}

// reachable returns the engines that are to be shared: those that answer. An
// engine can be gone for as long as the list lags; the VM whose part it was would
// have nothing, and its callers would wait for an engine that never answers while
// others are idle. The VMs to which the engine lends go on asking it, so that it
// is shared again once it answers.
//
// An engine counts as gone when two VMs of its own failure domain say so, or its
// only one: a VM whose own network is broken, a wrong digest, or a cut between
// failure domains must not take engines away from those that reach them. When
// none of a failure domain's engines seems to answer, all stay shared.
func reachable(list []platform.Upstream, members []Member) []platform.Upstream {
	votes, homes := votesOf(members)
	if len(votes) == 0 {
		return list
	}
	gone := func(u platform.Upstream) bool {
		home := u.FailureDomain
		return votes[vote{domain: home, engine: engineID(u.ID)}] >= max(1, min(votesUntilGone, homes[home]))
	}
	left := make(map[string]int)
	for _, u := range list {
		if !gone(u) {
			left[u.FailureDomain]++
		}
	}
	return slices.DeleteFunc(slices.Clone(list), func(u platform.Upstream) bool {
		return gone(u) && left[u.FailureDomain] > 0
	})
}

// vote is what a VM of a failure domain says of an engine.
type vote struct {
	domain string
	engine uint32
}

// votesOf counts who finds which engine unreachable, and the VMs that were heard
// of each failure domain.
func votesOf(members []Member) (votes map[vote]int, homes map[string]int) {
	votes, homes = make(map[vote]int), make(map[string]int)
	for _, m := range members {
		if !m.Heard {
			continue
		}
		homes[m.FailureDomain]++
		for _, id := range slices.Compact(slices.Sorted(slices.Values(m.Unreachable))) {
			votes[vote{domain: m.FailureDomain, engine: id}]++
		}
	}
	return votes, homes
}

// participants returns the VMs that share the engines of a failure domain: its
// own, and those whose failure domain has no engine of the pool. Engines
// without any live VM of their own are shared by all.
func participants(engines string, byDomain map[string][]place, members []Member) []Member {
	var list []Member
	home := false
	for _, m := range members {
		_, hasEngines := byDomain[m.FailureDomain]
		home = home || m.FailureDomain == engines
		if m.FailureDomain == engines || !hasEngines {
			list = append(list, m)
		}
	}
	if !home {
		return members
	}
	return list
}

// borrow adds the engines that lend places to the VM.
func (d *division) borrow(vm, domain string, members []Member) {
	if names := namesOf(d.list, members); names != d.names || d.lending == nil {
		d.names = names
		d.lending = lendingTo(vm, d.list, members)
		d.keeping = keptBy(vm, domain, d.list, members)
	}
	for _, u := range d.list {
		if d.lending[u.ID] && d.limits[u.ID] == 0 {
			d.limits[u.ID] = 1
			d.borrowed[u.ID] = true
		}
	}
}

// namesOf digests the names of engines and VMs in any order.
func namesOf(list []platform.Upstream, members []Member) uint64 {
	var sum uint64
	for _, u := range list {
		sum += xxhash.Sum64String("engine/" + u.ID)
	}
	for _, m := range members {
		sum += xxhash.Sum64String("vm/" + m.VM)
	}
	return sum
}

func lendingTo(vm string, list []platform.Upstream, members []Member) map[string]bool {
	lending := make(map[string]bool)
	for _, u := range list {
		if lends(u.ID, vm, members, max(1, u.Slots/lentShare)) {
			lending[u.ID] = true
		}
	}
	return lending
}

// keptBy returns the engines of a failure domain that a VM keeps an eye on: each
// has as many keepers as it takes votes to count as gone.
func keptBy(vm, domain string, list []platform.Upstream, members []Member) map[string]bool {
	home := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.FailureDomain != domain })
	keeping := make(map[string]bool)
	for _, u := range list {
		if u.FailureDomain == domain && lends(u.ID, vm, home, votesUntilGone) {
			keeping[u.ID] = true
		}
	}
	return keeping
}

// atLeastOne gives a VM without any part of engines that take all work one place there,
// so that its callers are served, if slowly, however many VMs share few slots. The
// overcommit is at most one request for each VM beyond the number of slots.
func (d *division) atLeastOne(vm, domain string) {
	best := -1
	anyPaid := slices.ContainsFunc(d.list, func(u platform.Upstream) bool { return !u.Reclaimable })
	for i, u := range d.list {
		if u.Reclaimable && anyPaid {
			continue
		}
		if d.limits[u.ID] > 0 && !d.borrowed[u.ID] {
			return
		}
		if best < 0 || preferred(vm, domain, u, d.list[best]) {
			best = i
		}
	}
	if best >= 0 {
		d.limits[d.list[best].ID] = 1
		delete(d.borrowed, d.list[best].ID)
	}
}

func preferred(vm, domain string, a, b platform.Upstream) bool {
	if near := a.FailureDomain == domain; near != (b.FailureDomain == domain) {
		return near
	}
	return borrowWeight(a.ID, vm) > borrowWeight(b.ID, vm)
}

// watchTime is how long after its last request a pool's engines are watched when none
// waits.
const watchTime = 10 * time.Second

// watched returns the engines that the VM may use or keeps an eye on, while it
// has work for the pool.
func (p *poolQueue) watched() []platform.Upstream {
	if p.name.Kind != platform.KindEngine {
		return nil
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.total == 0 && now.Sub(p.usedAt) > watchTime {
		return nil
	}
	p.divide(now)
	return p.division.watch
}
