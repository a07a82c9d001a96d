package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
)

// openCalls counts the open calls of each client account on this VM, from
// before their body is read to the end of their answer. Each holds a connection
// and memory. Without a bound one account that sends its bodies slowly, or reads
// its streams slowly, would use up the VM, and the others would notice it as
// connections that are not taken.
type openCalls struct {
	counts sync.Map
}

// openRetryAfter is when a caller above the limit should come back.
const openRetryAfter = time.Second

// enter counts a call and returns what ends it. It fails with
// *fault.LimitExceeded at the contract's limit.
func (o *openCalls) enter(c contract.Contract) (leave func(), err error) {
	value, ok := o.counts.Load(c.Account)
	if !ok {
		value, _ = o.counts.LoadOrStore(c.Account, new(atomic.Int64))
	}
	count := value.(*atomic.Int64)
	if count.Add(1) > int64(c.Limits.Open) {
		count.Add(-1)
		return nil, errors.WithStack(&fault.LimitExceeded{Account: string(c.Account), Limit: "open", Wait: openRetryAfter})
	}
	return func() { count.Add(-1) }, nil
}
