package fault

import "github.com/cockroachdb/errors"

// marked is a failure together with what is known about its request's run.
type marked struct {
	error
	execution Execution
}

// Unwrap returns the failure itself.
func (m *marked) Unwrap() error { return m.error }

// WithExecution marks a failure with what is known about the run of its
// request. Only the place that saw the failure knows that, so the mark is set
// there and travels with the failure; an outer mark replaces an inner one.
func WithExecution(err error, execution Execution) error {
	if err == nil {
		return nil
	}
	return &marked{error: err, execution: execution}
}

// ExecutionOf returns the outermost mark of a failure. Without a mark nothing
// is known, and a caller who is told "not run" of a request that ran would
// repeat it; so the answer is then Unknown.
func ExecutionOf(err error) Execution {
	var m *marked
	if errors.As(err, &m) {
		return m.execution
	}
	return Unknown
}

// certainty orders the executions by how much may have run.
var certainty = map[Execution]int{NotRun: 0, Unknown: 1, Ran: 2}

// Or returns what is known after two attempts of the same request: it has not
// run only if neither attempt ran.
func (e Execution) Or(other Execution) Execution {
	if certainty[other] > certainty[e] {
		return other
	}
	return e
}
