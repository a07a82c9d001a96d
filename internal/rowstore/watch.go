package rowstore

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

const (
	// defaultRetryBackoff is the backoff after a failed read if Watcher.RetryBackoff is nil.
	defaultRetryBackoff = 100 * time.Millisecond
	// minFullReadInterval is the time between two full reads of a small table. Long polls can
	// stop returning changes although the connection stays open, and can miss changes around a
	// loss of history; the interval bounds how long that goes unnoticed.
	minFullReadInterval = 20 * time.Second
	// maxFullReadRate bounds the rows per second that a VM reads by repeated full reads of a
	// large table. All VMs of the fleet make them.
	maxFullReadRate = 50
	// fullReadFactor is the minimum time between two full reads as a multiple of the duration
	// of the first of them.
	fullReadFactor = 10
)

// Watcher watches one table: it reads the table in full and then follows its changes by long
// polls. It repeats the full read periodically and after a loss of history.
type Watcher struct {
	Store Store
	Table string
	// Part is the partition that a full read covers. Long polls return the changes of all
	// partitions.
	Part string
	// AllParts extends a full read to every partition of the table.
	AllParts bool
	// SkipPart, if set, reports whether a full read of all partitions may leave one out,
	// because its rows are known and no longer change. Otherwise the calls of a full read
	// grow with all that the table retains.
	SkipPart func(partition string) bool
	// PollTimeout is the longest time that the store holds one long poll open. It bounds how long
	// an unresponsive connection goes unnoticed.
	PollTimeout time.Duration
	// PollTimeoutFunc, if set, is called before each long poll and replaces PollTimeout.
	PollTimeoutFunc func() time.Duration
	// Replace receives all rows after a full read, Apply the rows of a page of changes.
	// A row may be delivered several times and out of order; its version decides which
	// state is newer.
	Replace func(rows []Row)
	Apply   func(rows []Row)
	// OnOutage, if set, is called at the first failed read of an outage. OnRecovery, if set, is
	// called at the first successful read after it, with the duration of the outage.
	OnOutage   func(error)
	OnRecovery func(time.Duration)
	// MinPollInterval, if set, returns the minimum interval between the starts of two long polls.
	// Without it, each VM polls a table that changes all the time as fast as the store
	// answers. A single change after a quiet period is not delayed.
	MinPollInterval func() time.Duration
	// RetryBackoff, if set, returns the backoff after a failed read.
	RetryBackoff func() time.Duration
	// OnRead, if set, is called after each full read and each successful long poll.
	OnRead func()
	// OnVersion, if set, is called after Replace and Apply with the version of the store up to
	// which all changes were delivered.
	OnVersion func(version int64)

	outageSince time.Time // zero while the table can be read
}

// Run watches the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		after, rows, err := w.readTable(ctx)
		if err == nil {
			// The jitter spreads the full reads of VMs that started together.
			interval := fullReadInterval(rows)
			w.follow(ctx, after, max(interval-rand.N(interval/4), fullReadFactor*time.Since(started)))
		} else if ctx.Err() == nil {
			w.noteFailure(err)
			wait.For(ctx, w.retryBackoff())
		}
	}
}

// fullReadInterval returns the time between two full reads of a table with a number of rows.
func fullReadInterval(rows int) time.Duration {
	return max(minFullReadInterval, time.Duration(rows)*time.Second/maxFullReadRate)
}

// pollTimeout returns how long the store may hold the next long poll open.
func (w *Watcher) pollTimeout() time.Duration {
	if w.PollTimeoutFunc == nil {
		return w.PollTimeout
	}
	return w.PollTimeoutFunc()
}

func (w *Watcher) retryBackoff() time.Duration {
	if w.RetryBackoff == nil {
		return defaultRetryBackoff
	}
	return w.RetryBackoff()
}

// readTable reads the table in full and returns the version from which to follow changes, and
// the number of rows. The pages of several partitions are read at different times, so the version
// is that of the first page. Part is read before the partitions are listed, so that a partition
// that is created after the listing is among the changes.
func (w *Watcher) readTable(ctx context.Context) (after int64, count int, err error) {
	store := RetryingStore{Store: w.Store, Backoff: w.retryBackoff, OnFailure: w.noteFailure}
	first, err := ReadPartition(ctx, store, w.Table, w.Part)
	if err != nil {
		return 0, 0, err
	}
	rows := first.Rows
	if w.AllParts {
		others, err := w.readOtherPartitions(ctx, store)
		if err != nil {
			return 0, 0, err
		}
		rows = append(rows, others...)
	}
	w.noteSuccess()
	w.Replace(rows)
	w.noteVersion(first.Version)
	return first.Version, len(rows), nil
}

// readOtherPartitions reads all partitions of the table except Part.
func (w *Watcher) readOtherPartitions(ctx context.Context, store Store) ([]Row, error) {
	var rows []Row
	for after, more := "", true; more; {
		partitions, hasMore, err := store.Parts(ctx, w.Table, after)
		if err != nil {
			return nil, err
		}
		for _, partition := range partitions {
			after = partition
			if partition == w.Part || w.SkipPart != nil && w.SkipPart(partition) {
				continue
			}
			page, err := ReadPartition(ctx, store, w.Table, partition)
			if err != nil {
				return nil, err
			}
			rows = append(rows, page.Rows...)
		}
		more = hasMore && len(partitions) > 0
	}
	return rows, nil
}

// follow applies changes after a version. It returns when the table has to be read in full
// again, because maxDuration has passed or the history was lost, and when ctx has ended. After a
// failed long poll it continues: what changed meanwhile is still in the history. If every VM
// read the table in full after an outage, the store would refuse most calls at its return.
func (w *Watcher) follow(ctx context.Context, after int64, maxDuration time.Duration) {
	deadline := time.Now().Add(maxDuration)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		pollStart := time.Now()
		page, err := w.Store.Changes(ctx, w.Table, after, w.pollTimeout())
		if fault.Is[*HistoryTruncated](err) {
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				w.noteFailure(err)
				wait.For(ctx, w.retryBackoff())
			}
			continue
		}
		w.noteSuccess()
		if len(page.Rows) > 0 {
			w.Apply(page.Rows)
		}
		after = max(after, page.Version)
		w.noteVersion(after)
		if w.MinPollInterval != nil {
			wait.For(ctx, w.MinPollInterval()-time.Since(pollStart))
		}
	}
}

// ReadPartition returns all rows of a partition, page by page. The version is that of the
// first page, so that changes made between the reads are not missed afterwards.
func ReadPartition(ctx context.Context, store Store, table, partition string) (Page, error) {
	all, err := store.Read(ctx, table, partition, "", "")
	for more := all.More && len(all.Rows) > 0; err == nil && more; {
		var page Page
		from := all.Rows[len(all.Rows)-1].Name + "\x00"
		page, err = store.Read(ctx, table, partition, from, "")
		all.Rows = append(all.Rows, page.Rows...)
		more = page.More && len(page.Rows) > 0
	}
	return all, err
}

// ReadAll returns all rows of a partition, page by page.
func ReadAll(ctx context.Context, store Store, table, partition string) ([]Row, error) {
	page, err := ReadPartition(ctx, store, table, partition)
	return page.Rows, err
}

func (w *Watcher) noteVersion(version int64) {
	if w.OnVersion != nil {
		w.OnVersion(version)
	}
}

// noteSuccess records a successful read and reports the end of an outage.
func (w *Watcher) noteSuccess() {
	if w.OnRead != nil {
		w.OnRead()
	}
	if w.outageSince.IsZero() {
		return
	}
	if w.OnRecovery != nil {
		w.OnRecovery(time.Since(w.outageSince))
	}
	w.outageSince = time.Time{}
}

// noteFailure records a failed read. It reports only the first one of an outage, because
// failures can occur ten times a second.
func (w *Watcher) noteFailure(err error) {
	if !w.outageSince.IsZero() {
		return
	}
	w.outageSince = time.Now()
	if w.OnOutage != nil {
		w.OnOutage(err)
	}
}
