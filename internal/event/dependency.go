package event

import "time"

// Store is the name of the platform's store in the Detail of events about dependencies.
const Store = "store"

// OnDependencyLost returns a function that records that a dependency does not answer, with
// the error.
func (r *Recorder) OnDependencyLost(dependency string) func(error) {
	return func(err error) {
		r.Emit(DependencyLost, Subject{Detail: dependency + ": " + err.Error()})
	}
}

// OnDependencyRegained returns a function that records that a dependency is available again
// after an outage of the given duration.
func (r *Recorder) OnDependencyRegained(dependency string) func(time.Duration) {
	return func(outage time.Duration) {
		r.Emit(DependencyRegained, Subject{Detail: dependency, Count: outage.Milliseconds()})
	}
}
