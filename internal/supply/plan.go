// Package supply orders upstreams from a platform that starts and stops them one
// failure domain at a time. One VM at a time gives the orders of a failure domain,
// under a lease, so that the platform hears one voice.
package supply

import "dogwoodpond/internal/route"

// Kind tells the two kinds of upstreams apart, which are ordered separately.
type Kind int

// The kinds of upstreams.
const (
	// Fixed upstreams stay until they are ordered away.
	Fixed Kind = iota
	// Reclaimable ones are cheaper, and the platform may take all of a failure
	// domain away with seconds of notice.
	Reclaimable
	kinds
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"fixed", "reclaimable"}[k] }

// Set is a number of upstreams of each kind.
type Set [kinds]int

const (
	// slotsPercent is for how many of a hundred items there should be a slot at
	// once. Most items are short against their step, so that a slot serves several.
	slotsPercent = 60
	// perModel is how many engines each model should have in each failure domain.
	// While one loads new weights it takes no requests, and with a single one the
	// model stands still in that domain with each version.
	perModel = 2
	// reclaimableOneIn is for how many engines one may be reclaimable: the loss of
	// all reclaimable ones of a domain must leave its steps their slots.
	reclaimableOneIn = 5
)

// Need is what the steps of a service ask for.
type Need struct {
	// Models is how many models have steps.
	Models int
	// Items is how many items these steps have together, the largest recent step of
	// each model counted.
	Items int
	// Slots is how many items one upstream runs at once.
	Slots int
}

// Counts returns how many upstreams of each kind one of several failure domains
// should have; ok is false when no need is known. All domains together have the slots
// that the items need, and each has engines of each model. Of what goes beyond the
// slots a few may be reclaimable: when they are taken away, steps still have their
// slots and all models but few their engines.
func Counts(n Need, domains int, scale *route.Scale) (out Set, ok bool) {
	if n.Items <= 0 || n.Slots <= 0 || domains <= 0 {
		return out, false
	}
	bound := func(count int) int { return min(max(count, scale.Minimum), scale.Maximum) }
	const whole = 100
	forItems := bound(ceil(n.Items*slotsPercent, n.Slots*whole*domains))
	total := max(bound(perModel*n.Models), forItems)
	out[Fixed] = total
	if 0 < scale.ReclaimablePrice && scale.ReclaimablePrice < 1 {
		out[Reclaimable] = min(total-forItems, total/reclaimableOneIn)
		out[Fixed] = total - out[Reclaimable]
	}
	return out, true
}

func ceil(n, by int) int { return (n + by - 1) / by }
