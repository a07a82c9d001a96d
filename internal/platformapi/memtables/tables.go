// Package memtables implements the table service in memory, for the stand-in platform
// and for unit tests.
package memtables

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// Tables implements platformapi.Tables in memory. Its only error is
// *fault.PreconditionFailed.
type Tables struct {
	mu   sync.Mutex
	rows map[string]platformapi.Row
	// lastVersion holds the last version of each key, also of deleted rows, so
	// that versions never repeat.
	lastVersion map[string]uint64
	// keys are the keys of rows, sorted.
	keys []string

	reads, commits int64
}

// NewTables returns empty tables.
func NewTables() *Tables {
	return &Tables{rows: make(map[string]platformapi.Row), lastVersion: make(map[string]uint64)}
}

// Get implements platformapi.Tables.
func (t *Tables) Get(_ context.Context, key string) (platformapi.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return platformapi.Row{Key: key}, nil
	}
	return row, nil
}

// Scan implements platformapi.Tables.
func (t *Tables) Scan(_ context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []platformapi.Row
	for _, key := range t.keys[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		rows = append(rows, t.rows[key])
	}
	return rows, nil
}

// Commit implements platformapi.Tables.
func (t *Tables) Commit(_ context.Context, txn platformapi.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range txn.Preconditions {
		if have := t.rows[p.Key].Version; have != p.Version {
			return errors.WithStack(&fault.PreconditionFailed{Row: p.Key, Want: p.Version, Have: have})
		}
	}
	t.commits++
	for _, w := range txn.Writes {
		t.apply(txn.Nonce, w)
	}
	return nil
}

func (t *Tables) apply(nonce string, w platformapi.Write) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.lastVersion[w.Key]++
	t.rows[w.Key] = platformapi.Row{
		Key:     w.Key,
		Version: t.lastVersion[w.Key],
		Nonce:   nonce,
		Value:   slices.Clone(w.Value),
	}
}

// Counts returns the number of reads, and of commits that took effect.
func (t *Tables) Counts() (reads, commits int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commits
}
