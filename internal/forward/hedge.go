package forward

import "time"

const (
	// hedgeDelayShare is the share of the latency objective after which an idempotent
	// request without an answer is hedged at the earliest. It is high enough that few requests
	// are hedged, and low enough that the hedge of a request to a dead upstream is still
	// answered within the objective.
	hedgeDelayShare = 0.4
	// minHedgeDelay is the smallest delay of a hedge. Without it, nearly every request
	// of a route with a very short objective would be hedged.
	minHedgeDelay = 20 * time.Millisecond
	// lateFactor is the multiple of the expected time after which a request is late for its
	// upstream.
	lateFactor = 2
	// marginFactor covers the variation of answers around the expected time.
	marginFactor = 1.25
)

// HedgeDelay returns the time after which a request without an answer is late for the upstream
// that runs it, and is sent to a second one. here and elsewhere are the expected times to the
// answer at this upstream and at the best other one; 0 if unknown.
//
// A request is hedged early enough that the hedge is still answered within the objective, if that
// is possible. Otherwise an early hedge doubles the load of a slow service and gains nothing.
func HedgeDelay(objective, here, elsewhere time.Duration) time.Duration {
	earliest := max(scale(objective, hedgeDelayShare), minHedgeDelay)
	late := lateFactor * here
	if latest := objective - scale(elsewhere, marginFactor); latest >= max(earliest, here) {
		late = min(late, latest)
	}
	return min(max(earliest, late), max(objective, earliest))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
