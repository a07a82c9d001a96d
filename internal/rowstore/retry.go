package rowstore

import (
	"context"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

// RetryingStore is a store whose reads are retried while the store is unavailable, until they
// succeed or their context ends. It is meant for reads of a whole table while the store
// refuses most calls: a reader that started over after each refused page would hardly ever
// complete and would spend many calls.
type RetryingStore struct {
	Store
	// Backoff returns the backoff before the next attempt.
	Backoff func() time.Duration
	// OnFailure is called after each failed attempt.
	OnFailure func(error)
}

// Read implements Store.
func (p RetryingStore) Read(ctx context.Context, table, partition, from, to string) (page Page, err error) {
	err = p.retry(ctx, func() error {
		page, err = p.Store.Read(ctx, table, partition, from, to)
		return err
	})
	return page, err
}

// Parts implements Store.
func (p RetryingStore) Parts(ctx context.Context, table, after string) (partitions []string, more bool, err error) {
	err = p.retry(ctx, func() error {
		partitions, more, err = p.Store.Parts(ctx, table, after)
		return err
	})
	return partitions, more, err
}

// retry calls read until it succeeds, fails with another error than
// *fault.StoreUnavailable, or ctx ends.
func (p RetryingStore) retry(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil || !fault.Is[*fault.StoreUnavailable](err) {
			return err
		}
		p.OnFailure(err)
		if !wait.For(ctx, p.Backoff()) {
			return err
		}
	}
}
