package faultinject

import (
	"context"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// ProcessStore is the partitioned store as seen by one process. Each call is a step of
// the process.
type ProcessStore struct {
	process *Process
	rows    *memory.Store
}

// OpenStore returns the store as seen by the process.
func (p *Process) OpenStore(rows *memory.Store) *ProcessStore {
	return &ProcessStore{process: p, rows: rows}
}

// StoreNow implements rowstore.Clock.
func (s *ProcessStore) StoreNow() (int64, bool) { return s.rows.StoreNow() }

// Commit implements rowstore.Store.
func (s *ProcessStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
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
func tableOf(txn rowstore.Txn) string {
	if len(txn.Puts) > 0 {
		return txn.Puts[0].Key.Table
	}
	return txn.Deletes[0].Table
}

// Read implements rowstore.Store.
func (s *ProcessStore) Read(ctx context.Context, table, part, from, to string) (page rowstore.Page, err error) {
	err = s.process.Call(ctx, "get", table, false, func() (err error) {
		page, err = s.rows.Read(ctx, table, part, from, to)
		return err
	})
	return page, err
}

// Parts implements rowstore.Store.
func (s *ProcessStore) Parts(ctx context.Context, table, after string) (parts []string, more bool, err error) {
	err = s.process.Call(ctx, "scan", table, false, func() (err error) {
		parts, more, err = s.rows.Parts(ctx, table, after)
		return err
	})
	return parts, more, err
}

// Changes implements rowstore.Store.
func (s *ProcessStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (page rowstore.Page, err error) {
	err = s.process.Call(ctx, "scan", table+" changes", false, func() (err error) {
		page, err = s.rows.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// PutObject implements rowstore.Store.
func (s *ProcessStore) PutObject(ctx context.Context, name string, body []byte) error {
	return s.process.Call(ctx, "commit", "object", true, func() error { return s.rows.PutObject(ctx, name, body) })
}

// GetObject implements rowstore.Store.
func (s *ProcessStore) GetObject(ctx context.Context, name string) (body []byte, err error) {
	err = s.process.Call(ctx, "get", "object", false, func() (err error) {
		body, err = s.rows.GetObject(ctx, name)
		return err
	})
	return body, err
}

// DeleteObject implements rowstore.Store.
func (s *ProcessStore) DeleteObject(ctx context.Context, name string) error {
	return s.process.Call(ctx, "commit", "object", true, func() error { return s.rows.DeleteObject(ctx, name) })
}
