package event

import "time"

// Lost returns a function that tells of the loss of a dependency.
func (r *Recorder) Lost(what string) func(error) {
	return func(err error) {
		r.Emit(DependencyLost, Subject{Detail: what + ": " + err.Error()})
	}
}

// Regained returns a function that tells that a dependency is back.
func (r *Recorder) Regained(what string) func(time.Duration) {
	return func(away time.Duration) {
		r.Emit(DependencyRegained, Subject{Detail: what, Count: away.Milliseconds()})
	}
}
