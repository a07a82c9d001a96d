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
	// read reads the row; its calls end with readCtx.
	read    func(ctx context.Context) (Record, error)
	readCtx context.Context
	// onLost is called if the row has another holder.
	onLost func(error)

	mu sync.Mutex
	// stopped is true once no read may begin.
	stopped bool
	// reading is true while readWaiting runs.
	reading bool
	// waiting is the read that the calls since the last one was sent wait for; nil if there
	// are none.
	waiting *sharedRead
	reads   sync.WaitGroup
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
	read, ok := c.join()
	if !ok {
		return c.lostError()
	}
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

// stop ends the reads. Every later call of Confirm fails with *fault.LeaseLost. readCtx must
// have ended.
func (c *confirmer) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.reads.Wait()
}

// join returns the next read that is sent; ok is false after stop. The read does not end with
// the context of the call that starts it, since others may wait for it.
func (c *confirmer) join() (read *sharedRead, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil, false
	}
	if c.waiting == nil {
		c.waiting = &sharedRead{done: make(chan struct{})}
		if !c.reading {
			c.reading = true
			c.reads.Go(c.readWaiting)
		}
	}
	return c.waiting, true
}

// readWaiting reads the row until no call waits for it.
func (c *confirmer) readWaiting() {
	for read := c.takeWaiting(); read != nil; read = c.takeWaiting() {
		read.err = c.readRow()
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

// readRow reads the row, and ends the hold if the row has another holder.
func (c *confirmer) readRow() error {
	record, err := c.read(c.readCtx)
	if err != nil && !fault.Is[*fault.StoreUnavailable](err) {
		// A caller must not take a refused read for a refusal of its order.
		return errors.WithSecondaryError(errors.WithStack(&fault.StoreUnavailable{Operation: "confirmation of a lease"}), err)
	}
	if err != nil {
		return err
	}
	if c.EndUnlessHolder(record) {
		c.onLost(c.lostError())
	}
	return nil
}

func (c *confirmer) lostError() error {
	return errors.WithStack(&fault.LeaseLost{Lease: c.name, Epoch: c.Epoch()})
}
