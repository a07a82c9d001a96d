package kept

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

const (
	// retryPause is the pause after a failed read of a watch.
	retryPause = 100 * time.Millisecond
	// rereadEvery is how often a watch reads its rows anew without a reason. A
	// feed can fall silent while its connection stays open, or miss changes
	// around a loss of history; this bounds how long that goes unnoticed.
	rereadEvery = 20 * time.Second
	// rereadPause is how many times as long as a whole read lies at least between two.
	rereadPause = 10
)

// Watcher follows one table.
type Watcher struct {
	Store Store
	Table string
	// Part limits full reads to one partition; without it all partitions are read.
	Part string
	// AllParts makes full reads cover every partition of the table.
	AllParts bool
	// Wait is how long one call for changes may stay open. It bounds how long a
	// feed that fell silent goes unnoticed.
	Wait time.Duration
	// WaitNow, if set, gives the time for each call in place of Wait.
	WaitNow func() time.Duration
	// Replace takes the whole table after a full read; Apply takes changed rows.
	// A row may come more than once; its version tells old from new.
	Replace func(rows []Row)
	Apply   func(rows []Row)
	// Lost and Regained, if set, are told when the table can't be read any more,
	// and when it can again, and for how long it could not.
	Lost     func(error)
	Regained func(time.Duration)
	// Pace, if set, is the least time between the starts of two calls for changes. A
	// table that changes all the time would otherwise be asked again as soon as it
	// answers, by every VM. A change that comes alone is not delayed.
	Pace func() time.Duration
	// Retry, if set, is the pause after a call that failed.
	Retry func() time.Duration
	// Reached, if set, is called whenever the table was read.
	Reached func()

	lostAt time.Time
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		after, err := w.reread(ctx)
		if err == nil {
			// Those that started together reread apart.
			err = w.follow(ctx, after, max(rereadEvery-rand.N(rereadEvery/4), rereadPause*time.Since(started)))
		}
		if err != nil && ctx.Err() == nil {
			w.failed(err)
			wait.For(ctx, w.retry())
		}
	}
}

func (w *Watcher) wait() time.Duration {
	if w.WaitNow == nil {
		return w.Wait
	}
	return w.WaitNow()
}

func (w *Watcher) retry() time.Duration {
	if w.Retry == nil {
		return retryPause
	}
	return w.Retry()
}

// reread reads the whole table and returns the version to go on from. Pages of several
// partitions are of different moments, so the version of the first one counts. That one is
// read before the partitions are listed: a partition that is written after the list was
// made is then among the changes.
func (w *Watcher) reread(ctx context.Context) (int64, error) {
	store := Patient{Store: w.Store, Pause: w.retry, Failed: w.failed}
	first, err := ReadPartition(ctx, store, w.Table, w.Part)
	if err != nil {
		return 0, err
	}
	rows := first.Rows
	if w.AllParts {
		others, err := w.otherParts(ctx, store)
		if err != nil {
			return 0, err
		}
		rows = append(rows, others...)
	}
	w.reached()
	w.Replace(rows)
	return first.Version, nil
}

// otherParts reads the partitions that the table has besides Part.
func (w *Watcher) otherParts(ctx context.Context, store Store) ([]Row, error) {
	var rows []Row
	for after, more := "", true; more; {
		parts, further, err := store.Parts(ctx, w.Table, after)
		if err != nil {
			return nil, err
		}
		for _, part := range parts {
			after = part
			if part == w.Part {
				continue
			}
			page, err := ReadPartition(ctx, store, w.Table, part)
			if err != nil {
				return nil, err
			}
			rows = append(rows, page.Rows...)
		}
		more = further && len(parts) > 0
	}
	return rows, nil
}

// follow takes changes until a read fails or the rows have to be read anew, after a time
// at the latest.
func (w *Watcher) follow(ctx context.Context, after int64, most time.Duration) error {
	until := time.Now().Add(most)
	for ctx.Err() == nil && time.Now().Before(until) {
		asked := time.Now()
		page, err := w.Store.Changes(ctx, w.Table, after, w.wait())
		if fault.Is[*HistoryGone](err) {
			return nil
		}
		if err != nil {
			return err
		}
		w.reached()
		if len(page.Rows) > 0 {
			w.Apply(page.Rows)
		}
		after = max(after, page.Version)
		if w.Pace != nil {
			wait.For(ctx, w.Pace()-time.Since(asked))
		}
	}
	return nil
}

// ReadPartition returns all rows of a partition, over as many reads as it has pages. The
// version is that of the first page, so that nothing written in between is missed.
func ReadPartition(ctx context.Context, store Store, table, part string) (Page, error) {
	whole, err := store.Read(ctx, table, part, "", "")
	for more := whole.More && len(whole.Rows) > 0; err == nil && more; {
		var page Page
		from := whole.Rows[len(whole.Rows)-1].Name + "\x00"
		page, err = store.Read(ctx, table, part, from, "")
		whole.Rows = append(whole.Rows, page.Rows...)
		more = page.More && len(page.Rows) > 0
	}
	return whole, err
}

// ReadAll returns all rows of a partition, over several reads if need be.
func ReadAll(ctx context.Context, store Store, table, part string) ([]Row, error) {
	page, err := ReadPartition(ctx, store, table, part)
	return page.Rows, err
}

func (w *Watcher) reached() {
	if w.Reached != nil {
		w.Reached()
	}
	if w.lostAt.IsZero() {
		return
	}
	if w.Regained != nil {
		w.Regained(time.Since(w.lostAt))
	}
	w.lostAt = time.Time{}
}

// failed tells of the first failure only: while the store is away there would be
// ten a second.
func (w *Watcher) failed(err error) {
	if !w.lostAt.IsZero() {
		return
	}
	w.lostAt = time.Now()
	if w.Lost != nil {
		w.Lost(err)
	}
}
