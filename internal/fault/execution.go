package fault

import "github.com/cockroachdb/errors"

// executionError is an error with the known execution of its request.
type executionError struct {
	error
	execution Execution
}

// Unwrap returns the error without the execution.
func (e *executionError) Unwrap() error { return e.error }

// WithExecution attaches to err whether its request ran. Only the code in which the
// failure occurred knows this, so the execution is attached there and returned with
// the error. An outer execution overrides an inner one. If err is nil, WithExecution
// returns nil.
func WithExecution(err error, execution Execution) error {
	if err == nil {
		return nil
	}
	return &executionError{error: err, execution: execution}
}

// ExecutionOf returns the outermost execution attached to err, or Unknown if there is
// none. The default is not NotRun, because a caller that receives NotRun for a request
// that ran would repeat it.
func ExecutionOf(err error) Execution {
	var e *executionError
	if errors.As(err, &e) {
		return e.execution
	}
	return Unknown
}

// executionRank orders the executions by the certainty that the request ran.
var executionRank = map[Execution]int{NotRun: 0, Unknown: 1, Ran: 2}

// Or returns the execution of a request after two attempts with the executions e and
// other: NotRun only if neither attempt ran, Ran if either ran, otherwise Unknown.
func (e Execution) Or(other Execution) Execution {
	if executionRank[other] > executionRank[e] {
		return other
	}
	return e
}

// MayTakeEffect reports whether the order or report of a call that failed with err may have
// been executed, or may still be. It may if no answer says otherwise and a byte of the call
// may have been written.
func MayTakeEffect(err error) bool {
	var unavailable *StoreUnavailable
	switch {
	case err == nil, Is[*LeaseUnconfirmed](err), Is[*LeaseLost](err), Is[*OrderFenced](err), Is[*PlatformRefused](err):
		return false
	case errors.As(err, &unavailable):
		return unavailable.EffectUnknown
	}
	return ExecutionOf(err) != NotRun
}
