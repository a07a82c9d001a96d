package suspicion

import (
	"math"
	"slices"
	"time"
)

const (
	// outlookPeriod is how long ends count for what is expected of a service.
	outlookPeriod = 20 * time.Second
	// burstGap is the longest time between two ends of one burst.
	burstGap = 50 * time.Millisecond
	// gapTolerance is the factor by which the next gap between bursts may be shorter or longer than an earlier one.
	gapTolerance = 1.5
	// minGaps is the number of gaps from which on the next one is not expected to be shorter than all of them, and knownGaps
	// that from which on it is not expected to be longer either.
	minGaps, knownGaps = 2, 6
	// settlePeriod is the shortest time without ends after which no further one is expected. Until the gaps are known, it is
	// burstSettlePeriod after several upstreams ended together, for a cause that may well recur.
	settlePeriod      = time.Second
	burstSettlePeriod = 3 * time.Second
	// maxSettlePeriod is the time without ends after which no further burst is expected, whatever was seen before.
	maxSettlePeriod = 6 * time.Second
	// maxBursts is the number of bursts that count at most under one attempt. Where single upstreams of many end now and then,
	// a long request may meet any number, and would wait for good.
	maxBursts = 4.0
)

// Outlook predicts from the latest ends in a service whether an upstream will end under an attempt that begins now, for a
// cause of its own. Upstreams may end together, one after the other, or in bursts with pauses between them.
type Outlook struct {
	// series holds the bursts of at least each size that was seen, all of them first. Small bursts between large ones, such
	// as the ends that a request causes, say nothing of when the next large one is due.
	series []burstSeries
	// large is the series of the bursts of more than half the size of the largest one.
	large burstSeries
	// common holds when several upstreams ended together.
	common []time.Time
}

// burstSeries is a series of bursts of ends.
type burstSeries struct {
	// share is the mean share of the upstreams that ended in a burst.
	share float64
	// common is true if several upstreams end in each burst.
	common bool
	// quiet is the time since the last burst.
	quiet time.Duration
	// gaps holds the times between the bursts.
	gaps []time.Duration
}

// burst is a number of ends that follow each other within burstGap, the last one at a time.
type burst struct {
	at   time.Time
	size int
}

// newOutlook returns the outlook of a service with a number of upstreams, given when some ended, in order.
func newOutlook(ends []time.Time, upstreams int, now time.Time) Outlook {
	var o Outlook
	bursts := burstsOf(ends)
	var sizes []int
	for _, b := range bursts {
		sizes = append(sizes, b.size)
		if b.size > 1 {
			o.common = append(o.common, b.at)
		}
	}
	slices.Sort(sizes)
	sizes = slices.Compact(sizes)
	for _, size := range sizes {
		o.series = append(o.series, newBurstSeries(bursts, size, upstreams, now))
	}
	if len(sizes) > 0 {
		largest := sizes[len(sizes)-1]
		o.large = newBurstSeries(bursts, largest/2+1, upstreams, now)
	}
	return o
}

// newBurstSeries returns the series of those bursts, which are in order, that have a size or more.
func newBurstSeries(bursts []burst, size, upstreams int, now time.Time) burstSeries {
	s := burstSeries{common: size > 1}
	ended, n := 0, 0
	var last time.Time
	for _, b := range bursts {
		if b.size < size {
			continue
		}
		if n++; n > 1 {
			s.gaps = append(s.gaps, b.at.Sub(last))
		}
		ended, last = ended+b.size, b.at
	}
	s.quiet = now.Sub(last)
	s.share = min(1, float64(ended)/float64(n*max(upstreams, 1)))
	return s
}

// burstsOf groups ends, which are in order.
func burstsOf(ends []time.Time) []burst {
	var bursts []burst
	for _, at := range ends {
		if last := len(bursts) - 1; last >= 0 && at.Sub(bursts[last].at) <= burstGap {
			bursts[last] = burst{at, bursts[last].size + 1}
			continue
		}
		bursts = append(bursts, burst{at, 1})
	}
	return bursts
}

// Risk estimates the chance that an upstream ends for a cause of its own under an attempt which begins now. duration is
// how long the attempt is expected to last; 0 if unknown.
func (o Outlook) Risk(duration time.Duration) float64 {
	if len(o.series) == 0 {
		return 0
	}
	risk := o.RepeatedRisk(duration)
	for _, s := range []burstSeries{o.series[0], o.large} {
		if s.quiet < s.settledAfter() && !s.isOverBeforeNext(duration) {
			risk = max(risk, s.share)
		}
	}
	return risk
}

// RepeatedRisk is Risk for those causes alone that have ended upstreams more than once.
func (o Outlook) RepeatedRisk(duration time.Duration) float64 {
	risk := 0.0
	for _, s := range o.series {
		risk = max(risk, s.risk(duration))
	}
	return risk
}

// settledAfter returns the shortest time without bursts after which no further one is expected.
func (s burstSeries) settledAfter() time.Duration {
	if s.common && len(s.gaps) < knownGaps {
		return burstSettlePeriod
	}
	return settlePeriod
}

// isOverBeforeNext reports whether an attempt that begins now ends before the next burst, if bursts come at intervals.
func (s burstSeries) isOverBeforeNext(duration time.Duration) bool {
	return len(s.gaps) >= minGaps && duration > 0 && !slices.ContainsFunc(s.gaps, func(gap time.Duration) bool { return s.meets(gap, duration) })
}

// meets reports whether an attempt that begins now may last until the next burst, if that follows after a gap.
func (s burstSeries) meets(gap, duration time.Duration) bool {
	return duration <= 0 || s.quiet+duration > time.Duration(float64(gap)/gapTolerance)
}

// risk is RepeatedRisk for the bursts of one series. Each gap between earlier bursts that the time since the last one
// doesn't exceed is as likely as the others to be the next.
func (s burstSeries) risk(duration time.Duration) float64 {
	possible, sum := 0, 0.0
	for _, gap := range s.gaps {
		longest := time.Duration(gapTolerance * float64(gap))
		if s.quiet >= min(max(longest, s.settledAfter()), maxSettlePeriod) {
			continue
		}
		possible++
		if s.meets(gap, duration) {
			sum += 1 - math.Pow(1-s.share, burstsWithin(duration, gap))
		}
	}
	if possible == 0 {
		return 0
	}
	return sum / float64(possible)
}

// burstsWithin returns the number of bursts that count under an attempt.
func burstsWithin(duration, gap time.Duration) float64 {
	if duration <= 0 {
		return maxBursts
	}
	return min(max(float64(duration)/float64(gap), 1), maxBursts)
}
