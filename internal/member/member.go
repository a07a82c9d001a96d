// Package member maintains the list of the fleet's VMs. Each VM writes its own status
// row at regular intervals; such a write is a heartbeat. The other VMs read the rows of
// a failure domain together or, in a large fleet, digests of them. A VM counts as dead once its row has not been written for
// some time while the store was available. During an outage of the store no VM can
// write a heartbeat, so none is declared dead because of the outage.
package member

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/budget"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/wait"
)

const (
	// table has a row for each VM, in a partition for each failure domain.
	table = "vm"
	// minHeartbeatInterval is the interval between heartbeats, and between reads of
	// them, in a small fleet. In a large fleet the store's budget makes the interval
	// longer, and a dead VM's work is taken over later.
	minHeartbeatInterval = 500 * time.Millisecond
	// jitterDivisor sets the jitter of heartbeats: each comes early by a random time
	// that is less than the interval divided by jitterDivisor.
	jitterDivisor = 5
	// readBackoff is the wait after a failed read.
	readBackoff = 100 * time.Millisecond
	// minFullReadInterval is the interval at which all rows are read again, in case
	// changes were missed when the store lost its history of changes.
	minFullReadInterval = 20 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a new version of
	// the row after which a VM counts as dead. One late heartbeat has no effect.
	maxMissedHeartbeats = 3
	// callTimeout is the timeout of one read or write; a slow store answers within it.
	callTimeout = 1200 * time.Millisecond
	// awaitTimeout is how long an unresponsive VM is awaited by callers that need the
	// data of all VMs. It is longer than most network failures. A VM that was
	// replaced delays a usage window by up to this time, and the window must still be
	// reported in time.
	awaitTimeout = 8 * time.Second
	// returnGracePeriod is how long a VM that was unresponsive is still awaited after
	// its next heartbeat, and how long all VMs are awaited after an outage of the
	// store. Their usage totals follow within the timeout of one write and the interval
	// until the next write.
	returnGracePeriod = 2 * time.Second
)

// VM is one member of the fleet.
type VM struct {
	ID            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Incarnation identifies the incarnation: each process on the VM has its own.
	Incarnation string `json:"life"`
	// PeerAddress is the address at which the VM serves its peers.
	PeerAddress string `json:"peerAddress"`
	// Cores is the number of cores of the VM, which may be fractional; 0 when
	// unknown.
	Cores float64 `json:"processor,omitempty"`
	// Leaving is true when the VM takes no new work.
	Leaving bool `json:"leaving"`
	// ViaPeers is true while the VM reaches the store only through its peers.
	ViaPeers bool `json:"viaPeers,omitempty"`
}

// statusRow is what this VM knows of a status row. A heartbeat writes the same value
// again; only the version changes.
type statusRow struct {
	vm      VM
	value   []byte
	version int64
	// unchangedFor is how long the version has not changed while the store was
	// available.
	unchangedFor time.Duration
	// returnedAt is when the VM wrote a heartbeat again after it had been unresponsive.
	returnedAt time.Time
	// valueChangedAt is when this VM learned of the present value.
	valueChangedAt time.Time
	// fingerprint is the row's part in the fingerprint of its domain.
	fingerprint uint64
}

// List is the list of members as this VM knows it. It is safe for concurrent use.
type List struct {
	self    VM
	domains []string
	store   rowstore.Store
	budget  *budget.Budget
	events  *event.Recorder

	// viaPeers reports whether this VM reaches the store only through its peers.
	viaPeers func() bool

	// maxDirectVMs is the largest fleet whose VMs read each other's heartbeats.
	maxDirectVMs int

	heartbeatFailing atomic.Bool
	digestFailing    atomic.Bool
	leaving          atomic.Bool
	// writeMu serializes the heartbeats of this VM. A heartbeat in progress when the VM
	// begins to leave would otherwise overwrite the one that announces it, and the
	// other VMs would give this VM new work until the next heartbeat.
	writeMu sync.Mutex
	// ownRow is this VM's row. writeMu guards it.
	ownRow rowstore.OwnRow

	mu   sync.Mutex
	rows map[string]*statusRow
	// views holds the failure domains while this VM follows digests, nil otherwise.
	views map[string]*domainView
	// history tells the age of rows while this VM follows digests.
	history pollHistory
	// polledAt is when the rows were last read, or zero after a failed read.
	polledAt time.Time
	// availableSince is when a read succeeded for the first time after an outage of the
	// store.
	availableSince time.Time
	// failingSince is when the first of the reads that have failed since the last successful one did.
	// outageEndedAt is when a read succeeded after reads had failed for DeathPeriod; zero before the first
	// such outage.
	failingSince  time.Time
	outageEndedAt time.Time
	ready         bool
}

// New returns a list for the VM self in a fleet with the failure domains. viaPeers
// reports whether this VM reaches the store only through its peers.
func New(self VM, domains []string, store rowstore.Store, viaPeers func() bool, calls *budget.Budget, events *event.Recorder) *List {
	return &List{
		self: self, viaPeers: viaPeers, domains: domains, store: store, budget: calls, events: events,
		rows: make(map[string]*statusRow), maxDirectVMs: maxDirectVMs,
	}
}

// Self returns this VM.
func (l *List) Self() VM { return l.self }

// Run writes heartbeats and reads the status rows until ctx ends.
func (l *List) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.heartbeatLoop(ctx) })
	loops.Go(func() { l.pollLoop(ctx) })
	loops.Wait()
}

func (l *List) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		l.writeHeartbeat(callCtx)
		cancel()
		heartbeatInterval := l.heartbeatInterval()
		// Random, so that VMs that started together don't write at the same time.
		heartbeatInterval -= rand.N(heartbeatInterval / jitterDivisor)
		wait.For(ctx, max(heartbeatInterval-time.Since(started), heartbeatInterval/2))
	}
}

// pollLoop reads all rows, and then follows the heartbeats or, in a large fleet, the digests,
// until the next full read is due or a read fails. After each full read it removes expired
// rows.
func (l *List) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := l.readAll(ctx)
		if err == nil {
			l.removeExpired(ctx)
			until := time.Now().Add(l.fullReadInterval())
			if l.followsDigests() {
				err = l.followDigests(ctx, after, until)
			} else {
				err = l.followHeartbeats(ctx, after, until)
			}
		}
		if err != nil && !fault.Is[*rowstore.HistoryTruncated](err) {
			l.markUnavailable()
			wait.For(ctx, l.pollInterval())
		}
	}
}

// followHeartbeats follows the heartbeats of all VMs after a version until a time. It returns
// early when the fleet has become large or the history of changes was lost.
func (l *List) followHeartbeats(ctx context.Context, after int64, until time.Time) error {
	l.mu.Lock()
	l.views = nil
	l.mu.Unlock()
	return l.poll(ctx, until, func() bool { return !l.followsDigests() }, func() (err error) {
		after, err = l.readChanges(ctx, after)
		return err
	})
}

// poll calls read at the poll interval until a time, or while the condition holds. After a
// failed read it continues with the next one: what changed meanwhile is still in the history
// of changes, and a full read by every VM after an outage would load the store at once.
func (l *List) poll(ctx context.Context, until time.Time, condition func() bool, read func() error) error {
	for ctx.Err() == nil && time.Now().Before(until) && condition() {
		wait.For(ctx, l.pollInterval())
		err := read()
		if fault.Is[*rowstore.HistoryTruncated](err) {
			return err
		}
		if err != nil {
			l.markUnavailable()
		}
	}
	return nil
}

// fullReadInterval returns the interval between two full reads. It grows with the fleet, so
// that a VM reads at most maxDirectVMs rows in minFullReadInterval.
func (l *List) fullReadInterval() time.Duration {
	return minFullReadInterval * time.Duration(max(l.budget.FleetSize(), l.maxDirectVMs)) / time.Duration(l.maxDirectVMs)
}

// heartbeatInterval returns the interval between two heartbeats of one VM.
func (l *List) heartbeatInterval() time.Duration {
	return l.budget.Interval(budget.Heartbeats, minHeartbeatInterval)
}

// pollInterval returns the interval between two reads of the heartbeats.
func (l *List) pollInterval() time.Duration {
	return l.budget.Interval(budget.Members, minHeartbeatInterval)
}

// Leave announces to the other VMs that this VM takes no new work.
func (l *List) Leave(ctx context.Context) {
	l.leaving.Store(true)
	l.writeHeartbeat(ctx)
}

func (l *List) writeHeartbeat(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	vm := l.self
	vm.Leaving = l.leaving.Load()
	vm.ViaPeers = l.viaPeers()
	value, err := json.Marshal(vm)
	if err != nil {
		l.events.Emit(event.HeartbeatFailed, event.Subject{Detail: err.Error()})
		return
	}
	err = l.ownRow.Write(ctx, l.store, rowstore.Key{Table: table, Part: vm.FailureDomain, Name: vm.ID}, value)
	if failed := err != nil; failed != l.heartbeatFailing.Swap(failed) && failed {
		l.events.Emit(event.HeartbeatFailed, event.Subject{Detail: err.Error()})
	}
}

// readAll reads the rows of all failure domains, and returns the version after which to
// read changes. That is the lowest version of the pages, because the partitions are
// read at different times.
func (l *List) readAll(ctx context.Context) (after int64, err error) {
	store := rowstore.RetryingStore{
		Store:     l.store,
		Backoff:   func() time.Duration { return l.budget.RetryBackoff(budget.Members, readBackoff) },
		OnFailure: func(error) { l.markUnavailable() },
	}
	var rows []rowstore.Row
	after = math.MaxInt64
	for _, domain := range l.domains {
		page, err := rowstore.ReadPartition(ctx, store, table, domain)
		if err != nil {
			return 0, err
		}
		rows = append(rows, page.Rows...)
		after = min(after, page.Version)
	}
	l.applyRows(rows, true, time.Now())
	return after, nil
}

// readChanges reads the rows that changed after a version. It reads all pages before it
// applies them: a row on a later page has changed too.
func (l *List) readChanges(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rows []rowstore.Row
	for more := true; more; {
		page, err := l.store.Changes(ctx, table, after, 0)
		if err != nil {
			return after, err
		}
		rows = append(rows, page.Rows...)
		after, more = max(after, page.Version), page.More
	}
	l.applyRows(rows, false, time.Now())
	return after, nil
}

// markUnavailable records that a read failed, so that the time until the next successful
// read does not count toward unchangedFor.
func (l *List) markUnavailable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polledAt = time.Time{}
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
	}
}

// notePoll records a successful read and returns the time since the previous one, which
// counts toward unchangedFor only if that read succeeded too. l.mu must be held.
func (l *List) notePoll(now time.Time) (elapsed time.Duration) {
	if l.polledAt.IsZero() {
		l.availableSince = now
		if l.ready && !l.failingSince.IsZero() && now.Sub(l.failingSince) >= l.DeathPeriod() {
			l.outageEndedAt = now
		}
	} else {
		// Limited, because a pause of this process says nothing about the other VMs.
		elapsed = min(now.Sub(l.polledAt), 2*l.pollInterval())
	}
	l.polledAt, l.failingSince, l.ready = now, time.Time{}, true
	return elapsed
}

// applyRows records the rows of a successful read: all rows if full, otherwise those
// that changed since the previous read.
func (l *List) applyRows(rows []rowstore.Row, full bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.notePoll(now)
	updated := make(map[string]bool, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		if row.Deleted {
			delete(l.rows, row.Name)
			continue
		}
		present[row.Name] = true
		updated[row.Name] = l.applyRow(row) || updated[row.Name]
	}
	for name, status := range l.rows {
		if full && !present[name] {
			delete(l.rows, name)
			continue
		}
		// The version of a row whose VM was followed by digests may have changed long ago.
		if updated[name] && l.views == nil {
			l.setUnchangedFor(status, 0)
		} else {
			l.setUnchangedFor(status, status.unchangedFor+elapsed)
		}
	}
	l.budget.SetFleetSize(len(l.rows))
}

// applyRow records a row, and reports whether its version is newer and its value
// readable.
func (l *List) applyRow(row rowstore.Row) bool {
	status, ok := l.rows[row.Name]
	if ok && status.version >= row.Version {
		return false
	}
	if ok && bytes.Equal(status.value, row.Value) {
		status.version = row.Version
		return true
	}
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.ID == "" {
		l.events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
		return false
	}
	if !ok {
		status = new(statusRow)
		l.rows[row.Name] = status
	}
	status.vm, status.value, status.version, status.valueChangedAt = vm, row.Value, row.Version, time.Now()
	status.fingerprint = fingerprintOf(row.Name, row.Value)
	return true
}

// setUnchangedFor records for how long a row has not been written, and emits an event when
// its VM becomes unresponsive or returns.
func (l *List) setUnchangedFor(status *statusRow, unchangedFor time.Duration) {
	wasAlive := l.isAlive(status)
	status.unchangedFor = unchangedFor
	isAlive := l.isAlive(status)
	if isAlive == wasAlive {
		return
	}
	kind := event.PeerUnresponsive
	if isAlive {
		kind = event.PeerResponsive
		status.returnedAt = l.polledAt
	}
	l.events.Emit(kind, event.Subject{Peer: status.vm.ID, Count: status.unchangedFor.Milliseconds(), Detail: "life " + status.vm.Incarnation})
}

func (l *List) isAlive(status *statusRow) bool {
	return status.unchangedFor < l.DeathPeriod()
}

// DeathPeriod returns the time without a heartbeat after which a VM counts as dead.
func (l *List) DeathPeriod() time.Duration {
	return maxMissedHeartbeats * max(l.heartbeatInterval(), l.pollInterval())
}

// OutageEndedAt returns when this VM could read the list again after an outage of at least
// DeathPeriod; zero before the first one. A live VM may need some of that time for its next heartbeat.
func (l *List) OutageEndedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outageEndedAt
}

// Ready reports whether the list has been read at least once.
func (l *List) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// IsCurrent reports whether the last read of the list succeeded.
func (l *List) IsCurrent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready && !l.polledAt.IsZero()
}

// Alive reports whether a process still runs, as far as is known: the VM writes
// heartbeats and is still in the same incarnation.
func (l *List) Alive(id, incarnation string) bool {
	if id == l.self.ID {
		return incarnation == l.self.Incarnation
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	status, ok := l.rows[id]
	return ok && status.vm.Incarnation == incarnation && l.isAlive(status)
}

// Live returns the VMs that are alive and not leaving, sorted by ID. This VM is
// included unless it is leaving.
func (l *List) Live() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []VM
	for id, status := range l.rows {
		if id != l.self.ID && l.isAlive(status) && !status.vm.Leaving {
			live = append(live, status.vm)
		}
	}
	if !l.leaving.Load() {
		self := l.self
		self.ViaPeers = l.viaPeers()
		live = append(live, self)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Peers returns the other VMs that are alive, including those that are leaving.
func (l *List) Peers() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []VM
	for id, status := range l.rows {
		if id != l.self.ID && l.isAlive(status) {
			others = append(others, status.vm)
		}
	}
	return others
}

// NoneAwaited reports whether the last read succeeded and no other VM has to be awaited. A
// VM is awaited while it is unresponsive, for at most awaitTimeout, and for
// returnGracePeriod after it returned. After an outage of the store all VMs are awaited
// for returnGracePeriod.
func (l *List) NoneAwaited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || l.polledAt.IsZero() || l.polledAt.Sub(l.availableSince) < returnGracePeriod {
		return false
	}
	for id, status := range l.rows {
		awaited := !l.isAlive(status) && status.unchangedFor < awaitTimeout || l.polledAt.Sub(status.returnedAt) < returnGracePeriod
		if id != l.self.ID && awaited {
			return false
		}
	}
	return true
}

// Rank returns this VM's rank among the live VMs for a duty, from 0. The VMs that
// preferredVMs selects rank before the others. Ranks only avoid lost races; correctness
// does not depend on them.
func (l *List) Rank(duty string) int { return l.RankWithinResidency(duty, route.Residency{}) }

// RankWithinResidency is Rank among the VMs in the failure domains that a residency allows.
func (l *List) RankWithinResidency(duty string, residency route.Residency) int {
	live := allowed(l.Live(), residency)
	preferred := preferredVMs(live)
	if slices.ContainsFunc(preferred, func(vm VM) bool { return vm.ID == l.self.ID }) {
		return lease.Rank(duty, l.self.ID, ids(preferred))
	}
	return len(preferred) + lease.Rank(duty, l.self.ID, ids(live))
}

func allowed(vms []VM, residency route.Residency) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !residency.Allows(vm.FailureDomain) })
}

// First returns the live VM that ranks first for a duty among the VMs that a residency
// allows. If any of these are in the failure domain, only they are considered. ok is
// false when there is none.
func (l *List) First(duty, domain string, residency route.Residency) (first VM, ok bool) {
	live := allowed(l.Live(), residency)
	if near := inDomain(live, domain); len(near) > 0 {
		live = near
	}
	preferred := preferredVMs(live)
	id, ok := lease.First(duty, ids(preferred))
	for _, vm := range preferred {
		if vm.ID == id {
			first = vm
		}
	}
	return first, ok
}

// minCoresShare is the share of the largest number of cores that a VM must have to
// count as equally strong.
const minCoresShare = 0.75

// preferredVMs returns the VMs with the most cores among those that reach the store
// directly, or among all if none does. The items of a step, often hundreds, all start
// at once: on a VM with a fraction of a core the start takes as long as many of the
// items do.
func preferredVMs(vms []VM) []VM {
	direct := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.ViaPeers })
	if len(direct) > 0 {
		vms = direct
	}
	maxCores := 0.0
	for _, vm := range vms {
		maxCores = max(maxCores, vm.Cores)
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Cores < minCoresShare*maxCores })
}

func inDomain(vms []VM, domain string) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.FailureDomain != domain })
}

// RankDomainFirst returns this VM's rank for a duty, from 0, with the VMs of a failure domain
// ranked before all others. Unlike Rank it does not call preferredVMs. Every VM asks for its
// rank for every lease all the time, so it makes no copy of the list.
func (l *List) RankDomainFirst(duty, domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	inDomain := l.self.FailureDomain == domain
	rank := 0
	for id, status := range l.rows {
		if id == l.self.ID || status.vm.Leaving || !l.isAlive(status) {
			continue
		}
		otherInDomain := status.vm.FailureDomain == domain
		if !inDomain && otherInDomain {
			rank++
		}
		if (!inDomain || otherInDomain) && lease.Outranks(duty, id, l.self.ID) {
			rank++
		}
	}
	return rank
}

func ids(vms []VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.ID
	}
	return names
}
