package lease

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// confirmer is the Guard of a hold that can read the lease's row. It is safe for concurrent use.
type confirmer struct {
	*Hold
	read func(ctx context.Context) (Record, error)
	// onLost is called, possibly several times, when the row shows another holder.
	onLost func(error)

	mu sync.Mutex
	// reading is true while readWaiting runs.
	reading bool
	// waiting is the read that the calls since the last one was sent wait for; nil if there
	// are none.
	waiting *sharedRead
}

// sharedRead is one read of the row, which answers all calls that began before it was sent.
type sharedRead struct {
	done chan struct{} // closed when err is set
	err  error
}

// Confirm implements Guard.
func (c *confirmer) Confirm(ctx context.Context) error {
	if err := c.Check(); err != nil {
		return err
	}
	read := c.join(ctx)
	select {
	case <-ctx.Done():
		return errors.WithStack(context.Cause(ctx))
	case <-read.done:
	}
	if read.err != nil {
		return read.err
	}
	return c.Check()
}

// join returns the next read that is sent. The read does not end with the context of the
// call that starts it, since others may wait for it; its timeout limits it.
func (c *confirmer) join(ctx context.Context) *sharedRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = &sharedRead{done: make(chan struct{})}
		if !c.reading {
			c.reading = true
			go c.readWaiting(context.WithoutCancel(ctx))
		}
	}
	return c.waiting
}

// readWaiting reads the row until no call waits for it.
func (c *confirmer) readWaiting(ctx context.Context) {
	for read := c.takeWaiting(); read != nil; read = c.takeWaiting() {
		read.err = c.readRow(ctx)
		close(read.done)
	}
}

func (c *confirmer) takeWaiting() *sharedRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	read := c.waiting
	c.waiting = nil
	c.reading = read != nil
	return read
}

func (c *confirmer) readRow(ctx context.Context) error {
	record, err := c.read(ctx)
	if err != nil && !fault.Is[*fault.StoreUnavailable](err) {
		// A caller must not take a refused read for a refusal of its order.
		return errors.WithSecondaryError(errors.WithStack(&fault.StoreUnavailable{Operation: "confirmation of a lease"}), err)
	}
	if err != nil {
		return err
	}
	if err := c.CheckRecord(record); err != nil {
		c.onLost(err)
		return err
	}
	return nil
}
