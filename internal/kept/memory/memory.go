// Package memory keeps a partitioned store in memory for tests. Faults are
// switched on by SetFate and SetDown: lost answers, late effects, refusals.
package memory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/kept"
)

// Store implements kept.Store and kept.Clock in memory.
type Store struct {
	mu      sync.Mutex
	rows    map[kept.Key]kept.Row
	changes []kept.Row
	dropped int64
	version int64
	objects map[string][]byte
	started time.Time
	wake    chan struct{}
	late    []kept.Txn
	fate    func(kept.Txn) Fate
	isDown  bool
}

// SetFate lets f decide each commit's fate before it runs; nil lets all run.
func (s *Store) SetFate(f func(kept.Txn) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// SetDown makes every call fail, or lets them through again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	close(s.wake)
	s.wake = make(chan struct{})
}

// Fate is what happens to a commit.
type Fate int

// The fates of a commit.
const (
	// Normal runs and answers it.
	Normal Fate = iota
	// AnswerLost runs it without an answer.
	AnswerLost
	// EffectLate holds it back until RunLate, without an answer.
	EffectLate
	// Refused does nothing and says so.
	Refused
	// NeverArrived does nothing, without an answer.
	NeverArrived
)

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    make(map[kept.Key]kept.Row),
		objects: make(map[string][]byte),
		started: time.Now(),
		wake:    make(chan struct{}),
	}
}

// StoreNow implements kept.Clock.
func (s *Store) StoreNow() (int64, bool) { return time.Since(s.started).Milliseconds(), true }

func (s *Store) down(operation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return errors.WithStack(&fault.StoreUnavailable{Operation: operation})
	}
	return nil
}

// Commit implements kept.Store.
func (s *Store) Commit(ctx context.Context, txn kept.Txn) (int64, error) {
	if ctx.Err() != nil {
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	}
	if err := s.down("commit"); err != nil {
		return 0, err
	}
	switch s.fateOf(txn) {
	case Refused:
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit"})
	case NeverArrived:
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case EffectLate:
		s.mu.Lock()
		s.late = append(s.late, txn)
		s.mu.Unlock()
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case AnswerLost:
		_, _ = s.run(txn)
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "commit", EffectUnknown: true})
	case Normal:
	}
	return s.run(txn)
}

func (s *Store) fateOf(txn kept.Txn) Fate {
	s.mu.Lock()
	decide := s.fate
	s.mu.Unlock()
	if decide == nil {
		return Normal
	}
	return decide(txn)
}

// RunLate carries out the commits that were held back.
func (s *Store) RunLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, txn := range late {
		_, _ = s.run(txn)
	}
}

func (s *Store) run(txn kept.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []kept.Row
	holds := true
	for _, e := range txn.Expected {
		row, ok := s.rows[e.Key]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		return 0, errors.WithStack(&kept.Conflict{Current: current})
	}
	s.version++
	for _, put := range txn.Puts {
		s.write(kept.Row{Key: put.Key, Value: bytes.Clone(put.Value), Version: s.version})
	}
	for _, key := range txn.Removes {
		s.write(kept.Row{Key: key, Version: s.version, Deleted: true})
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return s.version, nil
}

func (s *Store) write(row kept.Row) {
	s.changes = append(s.changes, row)
	if row.Deleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// Set writes a row as another writer would.
func (s *Store) Set(key kept.Key, value string) {
	_, _ = s.run(kept.Txn{Puts: []kept.Put{{Key: key, Value: []byte(value)}}})
}

// Remove removes a row as another writer would.
func (s *Store) Remove(key kept.Key) { _, _ = s.run(kept.Txn{Removes: []kept.Key{key}}) }

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.dropped = nil, s.version
	close(s.wake)
	s.wake = make(chan struct{})
}

// Read implements kept.Store.
func (s *Store) Read(_ context.Context, table, part, from, to string) (kept.Page, error) {
	if err := s.down("read"); err != nil {
		return kept.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := kept.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Name < page.Rows[j].Name })
	return page, nil
}

// Parts implements kept.Store.
func (s *Store) Parts(_ context.Context, table, after string) ([]string, bool, error) {
	if err := s.down("parts"); err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var parts []string
	for key := range s.rows {
		if key.Table == table && key.Part > after && !seen[key.Part] {
			seen[key.Part] = true
			parts = append(parts, key.Part)
		}
	}
	sort.Strings(parts)
	return parts, false, nil
}

// Changes implements kept.Store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) (kept.Page, error) {
	timeout := time.NewTimer(max(wait, time.Nanosecond))
	defer timeout.Stop()
	for {
		if err := s.down("changes"); err != nil {
			return kept.Page{}, err
		}
		page, wake, err := s.changed(table, after)
		if err != nil || len(page.Rows) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return kept.Page{}, errors.WithStack(&fault.StoreUnavailable{Operation: "changes"})
		case <-timeout.C:
			return page, nil
		case <-wake:
		}
	}
}

func (s *Store) changed(table string, after int64) (kept.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return kept.Page{}, nil, errors.WithStack(&kept.HistoryGone{Table: table, After: after})
	}
	page := kept.Page{Version: s.version}
	for _, row := range s.changes {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.wake, nil
}

// PutObject implements kept.Store.
func (s *Store) PutObject(_ context.Context, name string, body []byte) error {
	if err := s.down("put object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes.Clone(body)
	return nil
}

// GetObject implements kept.Store.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := s.down("get object"); err != nil {
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

// Row returns the row with a key; its version is 0 when there is none.
func (s *Store) Row(key kept.Key) kept.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// ObjectNames returns the names of all objects, in order.
func (s *Store) ObjectNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects))
}

// DropObject implements kept.Store.
func (s *Store) DropObject(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}
