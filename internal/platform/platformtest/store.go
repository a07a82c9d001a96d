package platformtest

import (
	"context"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
)

// KeptStore is the partitioned store as seen by one process. Each call is a step of
// the process.
type KeptStore struct {
	process *Process
	rows    *memory.Store
}

// Kept returns the store as seen by the process.
func (p *Process) Kept(rows *memory.Store) *KeptStore { return &KeptStore{process: p, rows: rows} }

// StoreNow implements kept.Clock.
func (s *KeptStore) StoreNow() (int64, bool) { return s.rows.StoreNow() }

// Commit implements kept.Store.
func (s *KeptStore) Commit(ctx context.Context, txn kept.Txn) (int64, error) {
	var version atomic.Int64
	err := s.process.Call(ctx, "commit", tableOf(txn), true, func() error {
		// A delayed effect must not depend on ctx: it takes place even if the
		// caller has stopped waiting.
		v, err := s.rows.Commit(context.WithoutCancel(ctx), txn)
		version.Store(v)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version.Load(), nil
}

// tableOf returns the table of a transaction's first row.
func tableOf(txn kept.Txn) string {
	if len(txn.Puts) > 0 {
		return txn.Puts[0].Key.Table
	}
	return txn.Removes[0].Table
}

// Read implements kept.Store.
func (s *KeptStore) Read(ctx context.Context, table, part, from, to string) (page kept.Page, err error) {
	err = s.process.Call(ctx, "get", table, false, func() (err error) {
		page, err = s.rows.Read(ctx, table, part, from, to)
		return err
	})
	return page, err
}

// Parts implements kept.Store.
func (s *KeptStore) Parts(ctx context.Context, table, after string) (parts []string, more bool, err error) {
	err = s.process.Call(ctx, "scan", table, false, func() (err error) {
		parts, more, err = s.rows.Parts(ctx, table, after)
		return err
	})
	return parts, more, err
}

// Changes implements kept.Store.
func (s *KeptStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (page kept.Page, err error) {
	err = s.process.Call(ctx, "scan", table+" changes", false, func() (err error) {
		page, err = s.rows.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// PutObject implements kept.Store.
func (s *KeptStore) PutObject(ctx context.Context, name string, body []byte) error {
	return s.process.Call(ctx, "commit", "object", true, func() error { return s.rows.PutObject(ctx, name, body) })
}

// GetObject implements kept.Store.
func (s *KeptStore) GetObject(ctx context.Context, name string) (body []byte, err error) {
	err = s.process.Call(ctx, "get", "object", false, func() (err error) {
		body, err = s.rows.GetObject(ctx, name)
		return err
	})
	return body, err
}

// DropObject implements kept.Store.
func (s *KeptStore) DropObject(ctx context.Context, name string) error {
	return s.process.Call(ctx, "commit", "object", true, func() error { return s.rows.DropObject(ctx, name) })
}
