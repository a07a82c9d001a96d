package lease

import (
	"context"
	"time"

	"dogwoodpond/internal/platform"
)

// timedTables limits each call by a timeout. A call that hangs must leave enough of the
// term to find out its outcome; otherwise a single lost reply would end the lease.
type timedTables struct {
	tables  platform.Tables
	timeout time.Duration
}

// Get implements platform.Tables.
func (t timedTables) Get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Get(ctx, key)
}

// Scan implements platform.Tables.
func (t timedTables) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Tables.
func (t timedTables) Commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.tables.Commit(ctx, txn)
}
