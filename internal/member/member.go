// Package member keeps the list of the fleet's VMs. Each VM writes a row of its
// own in regular beats; the others read the rows of a failure domain together. A
// VM counts as dead once its row has stood still for a while on a store that
// answered all the time: while the store is away nobody can beat, and nobody may
// be declared dead for it.
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
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/wait"
)

const (
	// table holds a row for each VM, in a partition for each failure domain.
	table = "vm"
	// beatEvery is the period of the beats of a small fleet. A large one beats as often
	// as the store's budget allows: the time until a dead VM's work goes on grows with it.
	beatEvery = 500 * time.Millisecond
	// beatSpread is the part of a period, as one in so many, by which beats come earlier at
	// random.
	beatSpread = 5
	// retryPause is the pause after a read that failed.
	retryPause = 100 * time.Millisecond
	// rereadEvery is how often all rows are read anew without a reason, in case that
	// changes were missed around a loss of the store's history.
	rereadEvery = 20 * time.Second
	// deadAfter is the number of beats that a row must miss; one late beat harms
	// nobody.
	deadAfter = 3
	// callTimeout bounds one read or write; a slow store answers within it.
	callTimeout = 1200 * time.Millisecond
	// missedAfter is how long a silent VM is waited for by what wants to hear
	// everybody: longer than most cuts last. After a VM was replaced, each window of
	// usage waits so long for it, and must still be reported in time.
	missedAfter = 8 * time.Second
	// returnTime is how long a VM that was silent is waited for after its next beat, and
	// all VMs after the store was away. Their totals of usage follow within the timeout of
	// one write and the pause until the next.
	returnTime = 2 * time.Second
)

// VM is one member.
type VM struct {
	ID            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Life tells a process from its predecessors on the same VM.
	Life string `json:"life"`
	// PeerAddress is where the VM serves its peers.
	PeerAddress string `json:"peerAddress"`
	// Processor is how many cores the VM has, as a fraction; 0 when not known.
	Processor float64 `json:"processor,omitempty"`
	// Leaving VMs take no new work.
	Leaving bool `json:"leaving"`
	// ViaPeers is true while the VM reaches the store only through its peers.
	ViaPeers bool `json:"viaPeers,omitempty"`
}

// seen is what this VM knows of another's row. A beat writes the same value again; only
// the version shows it.
type seen struct {
	vm      VM
	value   []byte
	version int64
	// silent is for how long the row has stood still while the store answered.
	silent time.Duration
	// returned is when it beat again after it had been silent.
	returned time.Time
}

// List is the fleet as this VM sees it. It is safe for concurrent use.
type List struct {
	self    VM
	domains []string
	store   kept.Store
	budget  *budget.Budget
	events  *event.Recorder

	// viaPeers reports whether this VM reaches the store only through its peers.
	viaPeers func() bool

	failing atomic.Bool
	leaving atomic.Bool
	// writing orders the beats of this VM. A beat that was under way when the VM
	// began to leave would otherwise overwrite the one that says so, and the others
	// would give the VM new work until the next beat.
	writing sync.Mutex

	mu     sync.Mutex
	rows   map[string]*seen
	polled time.Time
	// back is when a read succeeded first after the store had been away.
	back  time.Time
	ready bool
}

// New returns a list for the VM self in a fleet with the failure domains.
// viaPeers reports whether this VM reaches the store only through its peers.
func New(self VM, domains []string, store kept.Store, viaPeers func() bool, calls *budget.Budget, events *event.Recorder) *List {
	return &List{
		self: self, viaPeers: viaPeers, domains: domains, store: store, budget: calls, events: events,
		rows: make(map[string]*seen),
	}
}

// Self returns this VM.
func (l *List) Self() VM { return l.self }

// Run beats and reads until ctx ends.
func (l *List) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.beat(ctx) })
	loops.Go(func() { l.follow(ctx) })
	loops.Wait()
}

func (l *List) beat(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		l.writeBeat(call)
		cancel()
		period := l.period()
		// VMs that started together beat apart.
		period -= rand.N(period / beatSpread)
		wait.For(ctx, max(period-time.Since(started), period/2))
	}
}

// follow reads all rows, and then what changes.
func (l *List) follow(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := l.readAll(ctx)
		if err == nil {
			l.removeSilent(ctx)
		}
		for until := time.Now().Add(rereadEvery); err == nil && ctx.Err() == nil && time.Now().Before(until); {
			wait.For(ctx, l.readPeriod())
			after, err = l.readChanges(ctx, after)
		}
		if err != nil && !fault.Is[*kept.HistoryGone](err) {
			l.lost()
			wait.For(ctx, l.readPeriod())
		}
	}
}

// period returns the time between two beats of one VM.
func (l *List) period() time.Duration { return l.budget.Period(budget.Beats, beatEvery) }

// readPeriod returns the time between two reads of the beats.
func (l *List) readPeriod() time.Duration { return l.budget.Period(budget.Members, beatEvery) }

// Leave tells the others that this VM takes no new work.
func (l *List) Leave(ctx context.Context) {
	l.leaving.Store(true)
	l.writeBeat(ctx)
}

func (l *List) writeBeat(ctx context.Context) {
	l.writing.Lock()
	defer l.writing.Unlock()
	vm := l.self
	vm.Leaving = l.leaving.Load()
	vm.ViaPeers = l.viaPeers()
	value, err := json.Marshal(vm)
	if err != nil {
		l.events.Emit(event.BeatFailed, event.Subject{Detail: err.Error()})
		return
	}
	key := kept.Key{Table: table, Part: vm.FailureDomain, Name: vm.ID}
	_, err = l.store.Commit(ctx, kept.Txn{Puts: []kept.Put{{Key: key, Value: value}}})
	if failed := err != nil; failed != l.failing.Swap(failed) && failed {
		l.events.Emit(event.BeatFailed, event.Subject{Detail: err.Error()})
	}
}

// readAll reads the rows of all failure domains, and returns the version from which
// changes go on: pages of several partitions are of different moments.
func (l *List) readAll(ctx context.Context) (after int64, err error) {
	store := kept.Patient{
		Store:  l.store,
		Pause:  func() time.Duration { return l.budget.Retry(budget.Members, retryPause) },
		Failed: func(error) { l.lost() },
	}
	var rows []kept.Row
	after = math.MaxInt64
	for _, domain := range l.domains {
		page, err := kept.ReadPartition(ctx, store, table, domain)
		if err != nil {
			return 0, err
		}
		rows = append(rows, page.Rows...)
		after = min(after, page.Version)
	}
	l.take(rows, true, time.Now())
	return after, nil
}

// readChanges reads what changed after a version, over as many pages as there are: a
// row that stands on a later page has not stood still.
func (l *List) readChanges(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rows []kept.Row
	for more := true; more; {
		page, err := l.store.Changes(ctx, table, after, 0)
		if err != nil {
			return after, err
		}
		rows = append(rows, page.Rows...)
		after, more = max(after, page.Version), page.More
	}
	l.take(rows, false, time.Now())
	return after, nil
}

func (l *List) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled = time.Time{}
}

// take takes rows after a read that succeeded: all there are, or those that changed since
// the read before. A silence counts only between two reads that both succeeded.
func (l *List) take(rows []kept.Row, whole bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var passed time.Duration
	if l.polled.IsZero() {
		l.back = now
	} else {
		// A pause of this process tells nothing about the others.
		passed = min(now.Sub(l.polled), 2*l.readPeriod())
	}
	l.polled, l.ready = now, true
	beaten := make(map[string]bool, len(rows))
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		if row.Deleted {
			delete(l.rows, row.Name)
			continue
		}
		listed[row.Name] = true
		beaten[row.Name] = l.note(row) || beaten[row.Name]
	}
	for name, s := range l.rows {
		if whole && !listed[name] {
			delete(l.rows, name)
			continue
		}
		l.judge(s, beaten[name], passed)
	}
	l.budget.SetFleet(len(l.rows))
}

// note takes a row and reports whether it changed.
func (l *List) note(row kept.Row) bool {
	known, ok := l.rows[row.Name]
	if ok && known.version >= row.Version {
		return false
	}
	if ok && bytes.Equal(known.value, row.Value) {
		known.version = row.Version
		return true
	}
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.ID == "" {
		l.events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
		return false
	}
	if !ok {
		known = new(seen)
		l.rows[row.Name] = known
	}
	known.vm, known.value, known.version = vm, row.Value, row.Version
	return true
}

// judge takes whether a VM has beaten in the time that passed.
func (l *List) judge(s *seen, beaten bool, passed time.Duration) {
	wasAlive := l.alive(s)
	if beaten {
		s.silent = 0
	} else {
		s.silent += passed
	}
	alive := l.alive(s)
	if alive == wasAlive {
		return
	}
	number := event.PeerSilent
	if alive {
		number = event.PeerReturned
		s.returned = l.polled
	}
	l.events.Emit(number, event.Subject{Peer: s.vm.ID, Count: s.silent.Milliseconds(), Detail: "life " + s.vm.Life})
}

func (l *List) alive(s *seen) bool {
	return s.silent < deadAfter*max(l.period(), l.readPeriod())
}

// Ready reports whether the list was read at least once.
func (l *List) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// Current reports whether the last read of the list succeeded.
func (l *List) Current() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready && !l.polled.IsZero()
}

// Alive reports whether a process still runs, as far as is known: the VM beats
// and is still in the same life.
func (l *List) Alive(id, life string) bool {
	if id == l.self.ID {
		return life == l.self.Life
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.rows[id]
	return ok && s.vm.Life == life && l.alive(s)
}

// Live returns the VMs that beat and are not leaving, this one included unless
// it leaves, in the order of their IDs.
func (l *List) Live() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []VM
	for id, s := range l.rows {
		if id != l.self.ID && l.alive(s) && !s.vm.Leaving {
			live = append(live, s.vm)
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

// Others returns the VMs known to beat besides this one, also those that leave.
func (l *List) Others() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []VM
	for id, s := range l.rows {
		if id != l.self.ID && l.alive(s) {
			others = append(others, s.vm)
		}
	}
	return others
}

// AllHeard reports whether no known VM is silent, or was so a moment ago.
func (l *List) AllHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || l.polled.IsZero() || l.polled.Sub(l.back) < returnTime {
		return false
	}
	for id, s := range l.rows {
		waited := !l.alive(s) && s.silent < missedAfter || l.polled.Sub(s.returned) < returnTime
		if id != l.self.ID && waited {
			return false
		}
	}
	return true
}

// Rank returns this VM's rank among the live VMs for a piece of work, from 0.
// Ranks spare lost races; they decide nothing.
func (l *List) Rank(work string) int { return l.RankWithin(work, route.Residency{}) }

// RankWithin is Rank among the VMs of the failure domains that a residency allows.
func (l *List) RankWithin(work string, residency route.Residency) int {
	live := allowed(l.Live(), residency)
	able := strongest(live)
	if slices.ContainsFunc(able, func(vm VM) bool { return vm.ID == l.self.ID }) {
		return lease.Rank(work, l.self.ID, ids(able))
	}
	return len(able) + lease.Rank(work, l.self.ID, ids(live))
}

func allowed(vms []VM, residency route.Residency) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !residency.Allows(vm.FailureDomain) })
}

// First returns the live VM that ranks first for a piece of work among those that a
// residency allows, one of the failure domain if any lives there; ok is false when there
// is none.
func (l *List) First(work, domain string, residency route.Residency) (first VM, ok bool) {
	live := allowed(l.Live(), residency)
	if near := within(live, domain); len(near) > 0 {
		live = near
	}
	able := strongest(live)
	id, ok := lease.First(work, ids(able))
	for _, vm := range able {
		if vm.ID == id {
			first = vm
		}
	}
	return first, ok
}

// strongShare is the part of the largest processor from which on VMs count as equally
// strong.
const strongShare = 0.75

// strongest returns the VMs with the most processor among those that reach the store
// themselves, or among all if none does. The load is a step of hundreds of
// items, all of which start at once: on a VM with a fraction of a core the start takes
// as long as many of the items do.
func strongest(vms []VM) []VM {
	direct := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.ViaPeers })
	if len(direct) > 0 {
		vms = direct
	}
	most := 0.0
	for _, vm := range vms {
		most = max(most, vm.Processor)
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Processor < strongShare*most })
}

func within(vms []VM, domain string) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.FailureDomain != domain })
}

// RankIn is Rank with the VMs of a failure domain before all others.
func (l *List) RankIn(work, domain string) int {
	live := l.Live()
	inside := within(live, domain)
	if l.self.FailureDomain == domain {
		return lease.Rank(work, l.self.ID, ids(inside))
	}
	return len(inside) + lease.Rank(work, l.self.ID, ids(live))
}

func ids(vms []VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.ID
	}
	return names
}
