// Package fault defines the typed failures that travel through all layers of
// dogwoodpond. Each failure is a Go type with a stable Code, so that a caller,
// an operator and a log reader can tell failures apart without parsing text.
// Wrap failures with github.com/cockroachdb/errors and find them again with
// errors.As.
package fault

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the stable, machine-readable name of a failure. It is part of the
// public API and never changes its meaning.
type Code string

// Execution says what is known about whether a refused request ran.
type Execution string

// The possible values of Execution.
const (
	// NotRun means that no byte of the request reached any upstream, or that
	// the upstream itself said so in a way that its protocol defines.
	NotRun Execution = "not_run"
	// Ran means that an upstream ran the request.
	Ran Execution = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Execution = "unknown"
)

// Failure is implemented by every typed failure.
type Failure interface {
	error
	// Code returns the stable name of the failure.
	Code() Code
}

// RetryAfterer is implemented by failures that know when a retry makes sense.
type RetryAfterer interface {
	// RetryAfter returns how long the caller should wait before it retries.
	RetryAfter() time.Duration
}

// CodeOf returns the code of the first typed failure in err's chain, or
// CodeInternal when there is none.
func CodeOf(err error) Code {
	var f Failure
	if errors.As(err, &f) {
		return f.Code()
	}
	return CodeInternal
}

// RetryAfterOf returns the retry delay of the first failure in err's chain
// that knows one, or otherwise fallback.
func RetryAfterOf(err error, fallback time.Duration) time.Duration {
	var r RetryAfterer
	if errors.As(err, &r) {
		return r.RetryAfter()
	}
	return fallback
}

// Is reports whether err's chain holds a failure of type T.
func Is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
