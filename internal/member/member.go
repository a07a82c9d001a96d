// Package member keeps the list of the fleet's VMs. Each VM writes a row of its
// own in regular beats; the others read the rows of a failure domain together. A
// VM counts as dead once its row has stood still for a while on a store that
// answered all the time: while the store is away nobody can beat, and nobody may
// be declared dead for it.
package member

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/lease"
)

const (
	// table holds a row for each VM, in a partition for each failure domain.
	table = "vm"
	// beatEvery is the period of the beats of a small fleet; it grows with the
	// fleet so that all beats together stay below beatsPerSecond.
	beatEvery      = 500 * time.Millisecond
	beatsPerSecond = 120
	// deadAfter is the number of beats that a row must miss; one late beat harms
	// nobody.
	deadAfter = 3
	// callTimeout bounds one read or write; a slow store answers within it.
	callTimeout = 1200 * time.Millisecond
	// missedAfter is how long a silent VM is waited for by what wants to hear
	// everybody: longer than most cuts last. After a VM was replaced, each window of
	// usage waits so long for it, and must still be reported in time.
	missedAfter = 8 * time.Second
	// returnTime is how long a VM that was silent is waited for after its next beat.
	// Its totals of usage follow within the timeout of one write and the pause until
	// the next.
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
	// Leaving VMs take no new work.
	Leaving bool   `json:"leaving"`
	Beat    uint64 `json:"beat"`
}

// seen is what this VM knows of another's row.
type seen struct {
	vm      VM
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
	events  *event.Recorder

	beat    atomic.Uint64
	failing atomic.Bool
	leaving atomic.Bool
	// writing orders the beats of this VM. A beat that was under way when the VM
	// began to leave would otherwise overwrite the one that says so, and the others
	// would give the VM new work until the next beat.
	writing sync.Mutex

	mu     sync.Mutex
	rows   map[string]*seen
	polled time.Time
	ready  bool
}

// New returns a list for the VM self in a fleet with the failure domains.
func New(self VM, domains []string, store kept.Store, events *event.Recorder) *List {
	return &List{
		self: self, domains: domains, store: store, events: events,
		rows: make(map[string]*seen),
	}
}

// Self returns this VM.
func (l *List) Self() VM { return l.self }

// Run beats and reads until ctx ends.
func (l *List) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.every(ctx, l.writeBeat) })
	loops.Go(func() { l.every(ctx, l.poll) })
	loops.Wait()
}

func (l *List) every(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		started := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		work(call)
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(max(l.period()-time.Since(started), l.period()/2)):
		}
	}
}

// period returns the time between two beats of one VM.
func (l *List) period() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.periodNow()
}

// periodNow is period for callers that hold the lock.
func (l *List) periodNow() time.Duration {
	return max(beatEvery, time.Duration(len(l.rows))*time.Second/beatsPerSecond)
}

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
	vm.Beat = l.beat.Add(1)
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

// poll reads the rows of all failure domains. A silence counts only between two
// polls that both succeeded.
func (l *List) poll(ctx context.Context) {
	var rows []kept.Row
	for _, domain := range l.domains {
		part, err := kept.ReadAll(ctx, l.store, table, domain)
		if err != nil {
			l.lost()
			return
		}
		rows = append(rows, part...)
	}
	l.take(rows, time.Now())
}

func (l *List) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled = time.Time{}
}

func (l *List) take(rows []kept.Row, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var passed time.Duration
	if !l.polled.IsZero() {
		// A pause of this process tells nothing about the others.
		passed = min(now.Sub(l.polled), 2*l.periodNow())
	}
	l.polled, l.ready = now, true
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil || vm.ID == "" {
			l.events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
			continue
		}
		listed[vm.ID] = true
		l.note(vm, row.Version, passed)
	}
	for id := range l.rows {
		if !listed[id] {
			delete(l.rows, id)
		}
	}
}

func (l *List) note(vm VM, version int64, passed time.Duration) {
	known, ok := l.rows[vm.ID]
	if !ok {
		l.rows[vm.ID] = &seen{vm: vm, version: version}
		return
	}
	wasAlive := l.alive(known)
	if known.version != version {
		known.vm, known.version, known.silent = vm, version, 0
	} else {
		known.silent += passed
	}
	if alive := l.alive(known); alive != wasAlive {
		number := event.PeerSilent
		if alive {
			number = event.PeerReturned
			known.returned = l.polled
		}
		l.events.Emit(number, event.Subject{Peer: vm.ID, Count: known.silent.Milliseconds(), Detail: "life " + vm.Life})
	}
}

func (l *List) alive(s *seen) bool {
	return s.silent < deadAfter*l.periodNow()
}

// Ready reports whether the list was read at least once.
func (l *List) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
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
		live = append(live, l.self)
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
	if !l.ready || l.polled.IsZero() {
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
func (l *List) Rank(work string) int {
	return lease.Rank(work, l.self.ID, ids(l.Live()))
}

// First returns the live VM that ranks first for a piece of work; ok is false when
// all leave.
func (l *List) First(work string) (first VM, ok bool) {
	live := l.Live()
	names := ids(live)
	for _, vm := range live {
		if lease.Rank(work, vm.ID, names) == 0 {
			return vm, true
		}
	}
	return VM{}, false
}

// RankIn is Rank with the VMs of a failure domain before all others.
func (l *List) RankIn(work, domain string) int {
	live := l.Live()
	var inside []VM
	for _, vm := range live {
		if vm.FailureDomain == domain {
			inside = append(inside, vm)
		}
	}
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
