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
	// knownGaps is the number of gaps from which on the next one is expected to be like one of them.
	knownGaps = 6
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

// Outlook is what the latest ends in a service let expect of its upstreams. It answers for attempts that may begin
// while upstreams end for causes of their own: together, one after the other, or in bursts with pauses between them.
type Outlook struct {
	// series holds the bursts of at least each size that was seen. Small bursts between large ones, such as the ends that a
	// request causes, say nothing of when the next large one is due.
	series []burstSeries
	// common holds when several upstreams ended together.
	common []time.Time
}

// burstSeries is a series of bursts of ends.
type burstSeries struct {
	// share is the share of the upstreams that end in each burst, or more.
	share float64
	// settledAfter is the shortest time without bursts after which no further one is expected.
	settledAfter time.Duration
	// gapsKnown is true if the next gap is expected to be like one of gaps.
	gapsKnown bool
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
	bursts := burstsOf(ends)
	var sizes []int
	var o Outlook
	for _, b := range bursts {
		sizes = append(sizes, b.size)
		if b.size > 1 {
			o.common = append(o.common, b.at)
		}
	}
	slices.Sort(sizes)
	for _, size := range slices.Compact(sizes) {
		s := burstSeries{share: min(1, float64(size)/float64(max(upstreams, 1))), settledAfter: settlePeriod}
		var last time.Time
		for _, b := range bursts {
			if b.size < size {
				continue
			}
			if !last.IsZero() {
				s.gaps = append(s.gaps, b.at.Sub(last))
			}
			last = b.at
		}
		s.quiet = now.Sub(last)
		s.gapsKnown = len(s.gaps) >= knownGaps
		if size > 1 && !s.gapsKnown {
			s.settledAfter = burstSettlePeriod
		}
		o.series = append(o.series, s)
	}
	return o
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
	risk := o.RepeatedRisk(duration)
	for _, s := range o.series {
		if !s.gapsKnown && s.quiet < s.settledAfter {
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

// risk is RepeatedRisk for the bursts of one series. Each gap between earlier bursts that the time since the last one
// doesn't exceed is as likely as the others to be the next.
func (s burstSeries) risk(duration time.Duration) float64 {
	possible, sum := 0, 0.0
	for _, gap := range s.gaps {
		longest := time.Duration(gapTolerance * float64(gap))
		if s.quiet >= min(max(longest, s.settledAfter), maxSettlePeriod) {
			continue
		}
		possible++
		if shortest := time.Duration(float64(gap) / gapTolerance); duration <= 0 || s.quiet+duration > shortest {
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
