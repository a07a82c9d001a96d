package sample

import (
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Bound is a contract's staleness bound.
type Bound struct {
	// Versions is how many weight versions a sample may be behind.
	Versions int64
	// Age is how long ago the oldest version of the sample may have been
	// superseded; 0 means no bound.
	Age time.Duration
}

// Supersession tells when a version was superseded.
type Supersession struct {
	// Latest is the newest published version.
	Latest int64
	// At is the earliest time at which the sample's oldest version can have
	// been superseded. It counts only when Known.
	At    time.Time
	Known bool
}

// Age is how old a sample is at one moment.
type Age struct {
	// Versions is how many versions the oldest token is behind.
	Versions int64
	// Elapsed is how long ago the oldest version was superseded, at most.
	Elapsed time.Duration
	// Known is false when Elapsed is not known.
	Known bool
}

// AgeOf returns the age of a sample whose oldest version has the supersession.
func AgeOf(oldest int64, s Supersession, now time.Time) Age {
	age := Age{Versions: max(0, s.Latest-oldest), Known: true}
	if age.Versions == 0 {
		return age
	}
	age.Known = s.Known
	if s.Known {
		age.Elapsed = max(0, now.Sub(s.At))
	}
	return age
}

// Check fails with *fault.SampleStale when the age exceeds the bound. An age
// that is not known counts as above any bound in time: passing the sample on
// might break the promise, and generating it again only costs work.
func (b Bound) Check(slot Slot, age Age) error {
	tooFar := age.Versions > b.Versions
	tooOld := b.Age > 0 && (!age.Known || age.Elapsed > b.Age)
	if tooFar || tooOld {
		return errors.WithStack(&fault.SampleStale{Slot: slot.Name()})
	}
	return nil
}
