package sample

import (
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// StalenessBound is a contract's staleness bound.
type StalenessBound struct {
	// Versions limits how many versions the sample's oldest weight version may
	// lag behind the newest published one.
	Versions int64
	// Age limits the time since the sample's oldest weight version was
	// superseded; 0 means no limit.
	Age time.Duration
}

// Supersession describes when a sample's oldest weight version was superseded.
type Supersession struct {
	// Latest is the newest published version.
	Latest int64
	// At is the earliest time at which the version can have been superseded. It
	// is valid only if Known is true.
	At    time.Time
	Known bool
}

// Age is the age of a sample at one point in time.
type Age struct {
	// Versions is how many versions the sample's oldest weight version lags
	// behind the newest published one.
	Versions int64
	// Elapsed is an upper bound of the time since the oldest version was
	// superseded.
	Elapsed time.Duration
	// Known reports whether Elapsed is known.
	Known bool
}

// AgeOf returns the age at now of a sample whose oldest weight version is oldest,
// superseded as s describes.
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

// Check fails with *fault.SampleStale when the age exceeds the bound. An unknown
// elapsed time exceeds every limit: delivering the sample might violate the
// contract, whereas generating it again only costs work.
func (b StalenessBound) Check(slot Slot, age Age) error {
	exceedsVersions := age.Versions > b.Versions
	exceedsAge := b.Age > 0 && (!age.Known || age.Elapsed > b.Age)
	if exceedsVersions || exceedsAge {
		return errors.WithStack(&fault.SampleStale{Slot: slot.Name()})
	}
	return nil
}
