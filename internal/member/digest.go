package member

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/rowstore"
)

// In a large fleet, VMs don't read each other's heartbeats: that would be n rows for each of n
// VMs in every heartbeat interval. Instead a few VMs of each failure domain read the rows of
// their domain and write a digest of them, and all VMs follow the digests. A VM reads the rows
// of a domain itself when its digests stop, and when its own rows of the domain differ from
// theirs. Heartbeats stay the only evidence that a VM runs.

const (
	// maxDirectVMs is the largest fleet whose VMs read each other's heartbeats. Their number
	// grows with the square of the fleet, up to the rate of heartbeats that the store accepts.
	maxDirectVMs = 400
	// digestTable has the digests, in a partition for each failure domain and a row for each
	// of its slots.
	digestTable = "vm-digest"
	// digestSlots is the number of VMs of a failure domain that write digests. While one is
	// dead or frozen, the digests of the other are enough.
	digestSlots = 2
	// digestMaxMissed is the number of intervals after which digests count as stopped. It is
	// lower than that of heartbeats, so that a VM's own reads show that other VMs run before
	// they count as dead.
	digestMaxMissed = 2
	// changesRetention is how long a digest contains the rows whose values changed. A VM that
	// misses them reads the rows of the domain.
	changesRetention = 3 * time.Second
	// maxDigestChanges bounds the rows in one digest; the store accepts 64 KiB.
	maxDigestChanges = 60
	// mismatchGracePeriod is how long the rows of a domain may differ from its digests before
	// they are read. A random time of the same length is added, so that the VMs of a fleet
	// don't read them at the same moment.
	mismatchGracePeriod = 500 * time.Millisecond
	// lostDomainReadInterval is the interval between reads of a domain in which no VM is alive.
	lostDomainReadInterval = 3 * time.Second
)

// digest summarizes the status rows of one failure domain.
type digest struct {
	// Fingerprint identifies the set of rows and their values; see fingerprintOf.
	Fingerprint uint64 `json:"fingerprint"`
	// SilentMillis holds the VMs that missed a heartbeat, with the time for which their rows have
	// not been written.
	SilentMillis map[string]int64 `json:"silent,omitempty"`
	// Changed holds rows whose values changed recently.
	Changed []changedRow `json:"changed,omitempty"`
}

// changedRow is a status row in a digest.
type changedRow struct {
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value"`
	Version int64           `json:"version"`
}

// receivedDigest is the last digest of one slot.
type receivedDigest struct {
	digest
	// version is the version of the slot's row, 0 if it was never read.
	version int64
	// unchangedFor is how long the row has not been written while the store was available.
	unchangedFor time.Duration
}

// domainView is what this VM knows of one failure domain beyond its rows.
type domainView struct {
	slots [digestSlots]receivedDigest
	// readAt is when the rows were last read directly; zero while liveness follows from the
	// digests.
	readAt time.Time
	// isWriter is true while this VM writes the domain's digest. Its own reads then show which VMs
	// are alive: its digest must not follow from digests.
	isWriter bool
	// readDue is when the rows are to be read because they differ from the digests; zero while
	// they don't.
	readDue time.Time
}

// pollHistory tells how long ago a row was written by its version alone. Versions come from one
// counter over the whole store, so a row with a version above that of an earlier poll was
// written after it.
type pollHistory struct {
	polls [16]pastPoll
	next  int
	// available is the time for which the store was available so far.
	available time.Duration
}

// pastPoll is the version of the store at one poll.
type pastPoll struct {
	version int64
	// at is the reading of pollHistory.available.
	at time.Duration
}

// note records a poll.
func (h *pollHistory) note(version int64, elapsed time.Duration) {
	h.available += elapsed
	h.polls[h.next] = pastPoll{version: version, at: h.available}
	h.next = (h.next + 1) % len(h.polls)
}

// ageOf returns for how long at least a row with a version has not been written. isOlder is true
// if it was written before the first poll of the history.
func (h *pollHistory) ageOf(version int64) (age time.Duration, isOlder bool) {
	writtenBy, isOlder := h.available, true
	for _, p := range h.polls {
		if p.version >= version {
			writtenBy = min(writtenBy, p.at)
		} else if p.version > 0 {
			isOlder = false
		}
	}
	return h.available - writtenBy, isOlder
}

// fingerprintOf returns the part of a row in the fingerprint of its domain, which is the sum
// over all rows.
func fingerprintOf(name string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(value)
	return d.Sum64()
}

func slotKey(domain string, slot int) rowstore.Key {
	return rowstore.Key{Table: digestTable, Part: domain, Name: strconv.Itoa(slot)}
}

// followsDigests reports whether the fleet is so large that its VMs follow digests.
func (l *List) followsDigests() bool { return l.budget.FleetSize() > l.maxDirectVMs }

// followDigests follows the digests of all domains after a version until a time, and writes
// those of the own domain while this VM ranks first for it. It returns early when the fleet has
// become small or the history of changes was lost.
func (l *List) followDigests(ctx context.Context, after int64, until time.Time) error {
	l.beginDigests()
	return l.poll(ctx, until, l.followsDigests, func() (err error) {
		if after, err = l.readDigests(ctx, after); err != nil {
			return err
		}
		slot, writes := l.claimSlot()
		for _, domain := range l.domainsToRead() {
			if err := l.readDomain(ctx, domain); err != nil {
				return err
			}
		}
		if writes {
			l.writeDigest(ctx, slot)
		}
		return nil
	})
}

// beginDigests starts to follow digests after all rows were read. What is known of the
// domains from an earlier time is retained.
func (l *List) beginDigests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.views != nil {
		return
	}
	l.views = make(map[string]*domainView, len(l.domains))
	for _, domain := range l.domains {
		l.views[domain] = new(domainView)
	}
}

// readDigests reads the digests that were written after a version.
func (l *List) readDigests(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := l.store.Changes(ctx, digestTable, after, 0)
	if err != nil {
		return after, err
	}
	l.applyDigests(page, time.Now())
	return max(after, page.Version), nil
}

// applyDigests records digests and derives from them which VMs are alive.
func (l *List) applyDigests(page rowstore.Page, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.notePoll(now)
	l.history.note(page.Version, elapsed)
	for _, view := range l.views {
		for slot := range view.slots {
			view.slots[slot].unchangedFor += elapsed
		}
	}
	for _, row := range page.Rows {
		l.applyDigest(row)
	}
	l.noteMismatches(now)
	for _, status := range l.rows {
		view := l.views[status.vm.FailureDomain]
		if view == nil || !view.readAt.IsZero() {
			l.setUnchangedFor(status, status.unchangedFor+elapsed)
			continue
		}
		l.setUnchangedFor(status, view.unchangedFor(status.vm.ID))
	}
}

// applyDigest records one digest and the changed rows in it.
func (l *List) applyDigest(row rowstore.Row) {
	view := l.views[row.Part]
	slot, err := strconv.Atoi(row.Name)
	if view == nil || err != nil || slot < 0 || slot >= digestSlots || row.Version <= view.slots[slot].version {
		return
	}
	var d digest
	if err := json.Unmarshal(row.Value, &d); err != nil {
		l.events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
		return
	}
	view.slots[slot] = receivedDigest{digest: d, version: row.Version}
	if !view.isWriter {
		view.readAt = time.Time{}
	}
	for _, c := range d.Changed {
		l.applyRow(rowstore.Row{Key: rowstore.Key{Table: table, Part: row.Part, Name: c.Name}, Value: c.Value, Version: c.Version})
	}
}

// unchangedFor returns for how long the row of a VM has not been written, by the digest with the
// newest evidence.
func (v *domainView) unchangedFor(vm string) time.Duration {
	least := v.slots[0].unchangedFor + time.Duration(v.slots[0].SilentMillis[vm])*time.Millisecond
	for _, s := range v.slots[1:] {
		least = min(least, s.unchangedFor+time.Duration(s.SilentMillis[vm])*time.Millisecond)
	}
	return least
}

// hasStopped reports whether no slot of the domain was written for digestMaxMissed intervals.
func (v *domainView) hasStopped(interval time.Duration) bool {
	for _, s := range v.slots {
		if s.unchangedFor < digestMaxMissed*interval {
			return false
		}
	}
	return true
}

// noteMismatches sets when the rows of a domain are to be read because they differ from its
// digests. One digest that matches is enough: the others may be older.
func (l *List) noteMismatches(now time.Time) {
	fingerprints := make(map[string]uint64, len(l.views))
	for _, status := range l.rows {
		fingerprints[status.vm.FailureDomain] += status.fingerprint
	}
	for domain, view := range l.views {
		known, matches := false, false
		for _, s := range view.slots {
			known = known || s.version > 0
			matches = matches || s.version > 0 && s.Fingerprint == fingerprints[domain]
		}
		switch {
		case matches || !known || view.hasStopped(l.pollInterval()):
			view.readDue = time.Time{}
		case view.readDue.IsZero():
			view.readDue = now.Add(mismatchGracePeriod + rand.N(mismatchGracePeriod))
		}
	}
}

// claimSlot returns the slot of this VM in its own domain, and records whether it has one.
func (l *List) claimSlot() (slot int, writes bool) {
	reachesStore := !l.viaPeers()
	l.mu.Lock()
	defer l.mu.Unlock()
	domain := l.self.FailureDomain
	var live []string
	for id, status := range l.rows {
		if status.vm.FailureDomain == domain && l.isAlive(status) && !status.vm.Leaving && !status.vm.ViaPeers {
			live = append(live, id)
		}
	}
	rank := lease.Rank("digest/"+domain, l.self.ID, live)
	writes = rank < digestSlots && reachesStore && !l.leaving.Load()
	if view := l.views[domain]; view != nil {
		view.isWriter = writes
	}
	return rank, writes
}

// WritesDigest reports whether this VM writes the digest of its failure domain.
func (l *List) WritesDigest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.views[l.self.FailureDomain]
	return view != nil && view.isWriter
}

// FollowsDigests reports whether the fleet is so large that its VMs read digests in place of
// lists that grow with it.
func (l *List) FollowsDigests() bool { return l.followsDigests() }

// domainsToRead returns the domains whose rows are read directly now: those whose digests have
// stopped or differ, and the own one if this VM writes its digest.
func (l *List) domainsToRead() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	alive := make(map[string]bool, len(l.views))
	for _, status := range l.rows {
		alive[status.vm.FailureDomain] = alive[status.vm.FailureDomain] || l.isAlive(status)
	}
	var due []string
	for domain, view := range l.views {
		stopped := view.hasStopped(l.pollInterval()) && (alive[domain] || now.Sub(view.readAt) >= lostDomainReadInterval)
		differs := !view.readDue.IsZero() && !now.Before(view.readDue)
		if stopped || differs || view.isWriter {
			due = append(due, domain)
		}
	}
	return due
}

// readDomain reads the rows of a domain directly.
func (l *List) readDomain(ctx context.Context, domain string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := rowstore.ReadPartition(ctx, l.store, table, domain)
	if err != nil {
		return err
	}
	l.applyDomain(domain, page.Rows, time.Now())
	return nil
}

// applyDomain records all rows of a domain and derives from their versions which VMs are alive.
func (l *List) applyDomain(domain string, rows []rowstore.Row, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.views[domain]
	view.readAt, view.readDue = now, time.Time{}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
		l.applyRow(row)
		if status := l.rows[row.Name]; status != nil {
			l.setUnchangedFor(status, l.ageOf(status))
		}
	}
	for name, status := range l.rows {
		if status.vm.FailureDomain == domain && !present[name] {
			delete(l.rows, name)
		}
	}
	l.budget.SetFleetSize(len(l.rows))
}

// ageOf returns for how long a row that was just read has not been written.
func (l *List) ageOf(status *statusRow) time.Duration {
	age, isOlder := l.history.ageOf(status.version)
	if isOlder {
		return max(age, status.unchangedFor)
	}
	return age
}

// writeDigest writes the digest of the own domain. It expects the row that this VM knows, so
// that a VM that was frozen can't replace a newer digest by its old one.
func (l *List) writeDigest(ctx context.Context, slot int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, version, err := l.ownDigest(slot)
	if err == nil {
		key := slotKey(l.self.FailureDomain, slot)
		_, err = l.store.Commit(ctx, rowstore.Txn{
			Expected: []rowstore.Expectation{{Key: key, Version: version}},
			Puts:     []rowstore.Put{{Key: key, Value: value}},
		})
		if conflict := new(rowstore.Conflict); errors.As(err, &conflict) {
			l.noteConflict(conflict.Row(key))
			return
		}
	}
	if failed := err != nil; failed != l.digestFailing.Swap(failed) && failed {
		l.events.Emit(event.HeartbeatFailed, event.Subject{Detail: "digest: " + err.Error()})
	}
}

// noteConflict records the digest that another VM has written to this VM's slot.
func (l *List) noteConflict(row rowstore.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDigest(row)
}

// ownDigest returns the encoded digest of the own domain, and the version of its slot that this
// VM knows.
func (l *List) ownDigest(slot int) (value []byte, version int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	d := digest{SilentMillis: make(map[string]int64)}
	for name, status := range l.rows {
		if status.vm.FailureDomain != l.self.FailureDomain {
			continue
		}
		d.Fingerprint += status.fingerprint
		if status.unchangedFor >= l.heartbeatInterval()*3/2 {
			d.SilentMillis[name] = status.unchangedFor.Milliseconds()
		}
		if now.Sub(status.valueChangedAt) < changesRetention && len(d.Changed) < maxDigestChanges {
			d.Changed = append(d.Changed, changedRow{Name: name, Value: status.value, Version: status.version})
		}
	}
	value, err = json.Marshal(d)
	return value, l.views[l.self.FailureDomain].slots[slot].version, err
}
