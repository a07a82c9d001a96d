package lease

import (
	"context"
	"time"

	"dogwoodpond/internal/platformapi"
)

// timeoutTables limits each call by a timeout. A call that hangs must leave enough of the
// term to find out its outcome; otherwise a single lost reply would end the lease.
type timeoutTables struct {
	tables  platformapi.Tables
	timeout time.Duration
}

// Get implements platformapi.Tables.
func (t timeoutTables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Get(ctx, key)
}

// Scan implements platformapi.Tables.
func (t timeoutTables) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Scan(ctx, prefix, after, limit)
}

// Commit implements platformapi.Tables.
func (t timeoutTables) Commit(ctx context.Context, txn platformapi.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Commit(ctx, txn)
}
