// Package memory is an in-memory implementation of the partitioned store for tests. SetFault
// and SetDown inject faults: lost requests, lost answers, delayed effects and refusals.
package memory

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

// Store implements rowstore.Store and rowstore.Clock in memory.
type Store struct {
	mu           sync.Mutex
	rows         map[rowstore.Key]rowstore.Row
	changes      []rowstore.Row
	historyStart int64 // changes after this version are available
	version      int64
	objects      map[string][]byte
	started      time.Time
	notify       chan struct{} // closed and replaced to signal open calls of Changes
	delayed      []rowstore.Txn
	chooseFault  func(rowstore.Txn) Fault
	isDown       bool
}

// SetFault makes f choose the fault of each commit before it runs. A nil f injects none.
func (s *Store) SetFault(f func(rowstore.Txn) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// SetDown takes the store down or up again. While it is down every call fails except StoreNow
// and DeleteObject. Open calls of Changes notice it at once.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	close(s.notify)
	s.notify = make(chan struct{})
}

// Fault is a fault that is injected into a commit.
type Fault int

// The faults of a commit.
const (
	// NoFault is no fault: the commit runs and is answered.
	NoFault Fault = iota
	// AnswerLost runs the commit and loses the answer.
	AnswerLost
	// EffectDelayed delays the commit until RunDelayed and gives no answer.
	EffectDelayed
	// Refused refuses the commit: it has no effect, and the error says so.
	Refused
	// RequestLost loses the request: the commit has no effect and gets no answer.
	RequestLost
	// StorageFull refuses the commit because the storage is full, with *fault.PlatformRefused.
	StorageFull
)

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    make(map[rowstore.Key]rowstore.Row),
		objects: make(map[string][]byte),
		started: time.Now(),
		notify:  make(chan struct{}),
	}
}

// StoreNow implements rowstore.Clock.
func (s *Store) StoreNow() (int64, bool) { return time.Since(s.started).Milliseconds(), true }

// checkDown returns the error of a call while the store is down.
func (s *Store) checkDown(operation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return errors.WithStack(&fault.StoreUnavailable{Operation: operation})
	}
	return nil
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if ctx.Err() != nil {
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	}
	if err := s.checkDown("commit"); err != nil {
		return 0, err
	}
	switch s.faultOf(txn) {
	case Refused:
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	case RequestLost:
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case EffectDelayed:
		s.mu.Lock()
		s.delayed = append(s.delayed, txn)
		s.mu.Unlock()
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case AnswerLost:
		_, _ = s.apply(txn)
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case StorageFull:
		return 0, errors.WithStack(&fault.PlatformRefused{Operation: "commit", Status: http.StatusInsufficientStorage})
	case NoFault:
	}
	return s.apply(txn)
}

func (s *Store) faultOf(txn rowstore.Txn) Fault {
	s.mu.Lock()
	choose := s.chooseFault
	s.mu.Unlock()
	if choose == nil {
		return NoFault
	}
	return choose(txn)
}

// RunDelayed runs the commits that EffectDelayed delayed.
func (s *Store) RunDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, txn := range delayed {
		_, _ = s.apply(txn)
	}
}

// apply runs a transaction without faults.
func (s *Store) apply(txn rowstore.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []rowstore.Row
	holds := true
	for _, e := range txn.Expected {
		row, ok := s.rows[e.Key]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		return 0, errors.WithStack(&rowstore.Conflict{Current: current})
	}
	s.version++
	for _, put := range txn.Puts {
		s.write(rowstore.Row{Key: put.Key, Value: bytes.Clone(put.Value), Version: s.version})
	}
	for _, key := range txn.Deletes {
		s.write(rowstore.Row{Key: key, Version: s.version, Deleted: true})
	}
	close(s.notify)
	s.notify = make(chan struct{})
	return s.version, nil
}

func (s *Store) write(row rowstore.Row) {
	s.changes = append(s.changes, row)
	if row.Deleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// Set writes a row without an expectation and without faults, like another writer.
func (s *Store) Set(key rowstore.Key, value string) {
	_, _ = s.apply(rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: []byte(value)}}})
}

// Delete deletes a row without an expectation and without faults, like another writer.
func (s *Store) Delete(key rowstore.Key) { _, _ = s.apply(rowstore.Txn{Deletes: []rowstore.Key{key}}) }

// TruncateHistory drops the history of changes, so that Changes fails with *rowstore.HistoryTruncated for all
// versions before the present one.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.historyStart = nil, s.version
	close(s.notify)
	s.notify = make(chan struct{})
}

// Read implements rowstore.Store.
func (s *Store) Read(_ context.Context, table, partition, from, to string) (rowstore.Page, error) {
	if err := s.checkDown("read"); err != nil {
		return rowstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Part == partition && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Name < page.Rows[j].Name })
	return page, nil
}

// Parts implements rowstore.Store.
func (s *Store) Parts(_ context.Context, table, after string) ([]string, bool, error) {
	if err := s.checkDown("parts"); err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var partitions []string
	for key := range s.rows {
		if key.Table == table && key.Part > after && !seen[key.Part] {
			seen[key.Part] = true
			partitions = append(partitions, key.Part)
		}
	}
	sort.Strings(partitions)
	return partitions, false, nil
}

// Changes implements rowstore.Store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Page, error) {
	timeout := time.NewTimer(max(wait, time.Nanosecond))
	defer timeout.Stop()
	for {
		if err := s.checkDown("changes"); err != nil {
			return rowstore.Page{}, err
		}
		page, notify, err := s.changesAfter(table, after)
		if err != nil || len(page.Rows) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return rowstore.Page{}, errors.WithStack(&fault.StoreUnavailable{Operation: "changes"})
		case <-timeout.C:
			return page, nil
		case <-notify:
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed by
// the next transaction, SetDown or TruncateHistory.
func (s *Store) changesAfter(table string, after int64) (rowstore.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.historyStart {
		return rowstore.Page{}, nil, errors.WithStack(&rowstore.HistoryTruncated{Table: table, After: after})
	}
	page := rowstore.Page{Version: s.version}
	for _, row := range s.changes {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.notify, nil
}

// PutObject implements rowstore.Store.
func (s *Store) PutObject(_ context.Context, name string, body []byte) error {
	if err := s.checkDown("put object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes.Clone(body)
	return nil
}

// GetObject implements rowstore.Store.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := s.checkDown("get object"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, errors.WithStack(&fault.ObjectUnknown{Key: name})
	}
	return body, nil
}

// Row returns the row with the given key, or a row with version 0 if it is absent.
func (s *Store) Row(key rowstore.Key) rowstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// ObjectNames returns the sorted names of all objects.
func (s *Store) ObjectNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects))
}

// DeleteObject implements rowstore.Store.
func (s *Store) DeleteObject(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}
