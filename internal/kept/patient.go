package kept

import (
	"context"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/wait"
)

// Patient is a store whose reads are repeated until they succeed or their context ends.
// The load is a whole table that is read while the store refuses most calls: begun anew
// with each refused page, it would never be read to its end, and use up calls meanwhile.
type Patient struct {
	Store
	// Pause returns the time before the next try.
	Pause func() time.Duration
	// Failed is told of each failure.
	Failed func(error)
}

// Read implements Store.
func (p Patient) Read(ctx context.Context, table, part, from, to string) (page Page, err error) {
	err = p.repeat(ctx, func() error {
		page, err = p.Store.Read(ctx, table, part, from, to)
		return err
	})
	return page, err
}

// Parts implements Store.
func (p Patient) Parts(ctx context.Context, table, after string) (parts []string, more bool, err error) {
	err = p.repeat(ctx, func() error {
		parts, more, err = p.Store.Parts(ctx, table, after)
		return err
	})
	return parts, more, err
}

func (p Patient) repeat(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil || !fault.Is[*fault.StoreUnavailable](err) {
			return err
		}
		p.Failed(err)
		if !wait.For(ctx, p.Pause()) {
			return err
		}
	}
}
