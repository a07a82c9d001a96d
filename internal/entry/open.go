package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
)

// openCalls counts the open calls of each client account on this VM. A call is
// open from before its body is read until its answer is complete, and holds a
// connection and memory. Without a limit, one account that sends its bodies or
// reads its streams slowly could exhaust the VM, and the connections of other
// accounts would not be accepted.
type openCalls struct {
	counts sync.Map
}

// openRetryAfter is the retry delay given to callers above the limit.
const openRetryAfter = time.Second

// acquire counts one more open call. The call is counted until release is
// called. It fails with *fault.LimitExceeded at the limit of the contract.
func (o *openCalls) acquire(c contract.Contract) (release func(), err error) {
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
