// Package fault defines the typed failures that all layers of dogwoodpond return.
// Each failure is a Go type with a stable Code, so that callers, operators and log
// readers can distinguish failures without parsing text. Failures are wrapped with
// github.com/cockroachdb/errors and found with errors.As.
package fault

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the stable, machine-readable name of a failure. It is part of the
// public API, and its meaning never changes.
type Code string

// Execution says whether a refused request ran at an upstream, as far as is known.
type Execution string

// Values of Execution.
const (
	// NotRun means that no byte of the request reached any upstream, or that the
	// upstream reported by means of its protocol that it did not run the request.
	NotRun Execution = "not_run"
	// Ran means that an upstream ran the request.
	Ran Execution = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Execution = "unknown"
)

// Failure is implemented by all typed failures.
type Failure interface {
	error
	// Code returns the stable name of the failure.
	Code() Code
}

// RetryAfterer is implemented by failures with a known retry delay.
type RetryAfterer interface {
	// RetryAfter returns the time that the caller should wait before a retry.
	RetryAfter() time.Duration
}

// CodeOf returns the code of the first typed failure in err's chain, or
// CodeInternal if there is none.
func CodeOf(err error) Code {
	var f Failure
	if errors.As(err, &f) {
		return f.Code()
	}
	return CodeInternal
}

// RetryAfterOf returns the retry delay of the first RetryAfterer in err's chain, or
// fallback if there is none.
func RetryAfterOf(err error, fallback time.Duration) time.Duration {
	var r RetryAfterer
	if errors.As(err, &r) {
		return r.RetryAfter()
	}
	return fallback
}

// Is reports whether err's chain contains an error of type T.
func Is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
