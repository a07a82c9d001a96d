// Package scaling orders upstreams from the platform, which starts and stops them for each
// failure domain. Under a lease, one VM at a time sends the orders of a failure domain, so
// that the platform gets them from a single sender.
package scaling

import "dogwoodpond/internal/route"

// Kind is a kind of upstream. Each kind is ordered separately.
type Kind int

// The kinds of upstreams.
const (
	// Fixed upstreams run until an order removes them.
	Fixed Kind = iota
	// Reclaimable upstreams are cheaper. The platform may take away all of a failure
	// domain with a notice of seconds.
	Reclaimable
	numKinds
)

// String returns the name of the kind for events.
func (k Kind) String() string { return [...]string{"fixed", "reclaimable"}[k] }

// KindCounts is a number of upstreams of each kind.
type KindCounts [numKinds]int

const (
	// slotsPercent is the number of slots to provide for 100 items. Most items are short
	// compared with their step, so that one slot serves several.
	slotsPercent = 60
	// enginesPerModel is how many engines each model should have in each failure domain.
	// An engine takes no requests while it loads new weights; with a single engine, the
	// domain could not serve the model during a weight load.
	enginesPerModel = 2
	// reclaimableDivisor bounds the reclaimable engines of a domain to one in that many:
	// after the loss of all of them, its steps must still have their slots.
	reclaimableDivisor = 5
)

// Need is what the steps of a service require.
type Need struct {
	// Models is how many models have steps.
	Models int
	// Items is the number of items of these steps: the sum over the models, with the
	// largest recent step of each.
	Items int
	// Slots is how many items one upstream runs at once.
	Slots int
}

// Counts returns how many upstreams of each kind one failure domain should have when
// domains failure domains serve the need together; ok is false when no need is known. All
// domains together have the slots that the items need, and each has engines for each
// model. Some of the engines beyond these slots may be reclaimable: when they are taken
// away, steps still have their slots and nearly all models their engines.
func Counts(n Need, domains int, scale *route.Scale) (out KindCounts, ok bool) {
	if n.Items <= 0 || n.Slots <= 0 || domains <= 0 {
		return out, false
	}
	clamp := func(count int) int { return min(max(count, scale.Minimum), scale.Maximum) }
	const percent = 100
	forItems := clamp(ceilDiv(n.Items*slotsPercent, n.Slots*percent*domains))
	total := max(clamp(enginesPerModel*n.Models), forItems)
	out[Fixed] = total
	if 0 < scale.ReclaimablePrice && scale.ReclaimablePrice < 1 {
		out[Reclaimable] = min(total-forItems, total/reclaimableDivisor)
		out[Fixed] = total - out[Reclaimable]
	}
	return out, true
}

func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }
