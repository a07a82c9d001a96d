package step

import (
	"fmt"
	"testing"
	"time"
)

// commonEnd is a way in which other engines end at the moment in which an item ends its engine.
type commonEnd struct {
	name string
	// fatal is the number of items that end their engines.
	fatal int
	// companions, companionLag and endInterval are those of mortalEngines.
	companions   int
	companionLag time.Duration
	endInterval  time.Duration
}

var commonEnds = []commonEnd{
	{name: "its engine alone", fatal: 1},
	{name: "one other engine", fatal: 1, companions: 1},
	{name: "two others, 2 ms later", fatal: 1, companions: 2, companionLag: 2 * time.Millisecond},
	{name: "three others", fatal: 1, companions: 3},
	{name: "one other, 40 ms later", fatal: 1, companions: 1, companionLag: 40 * time.Millisecond},
	{name: "three items, at full seconds", fatal: 3, endInterval: time.Second},
	{name: "five items, at full seconds", fatal: 5, endInterval: time.Second},
	{name: "five items, at quarters of a second", fatal: 5, endInterval: 250 * time.Millisecond},
}

// play returns a play in which items end their engines in this way.
func (c commonEnd) play(t *testing.T, how fatality) *mortalPlay {
	p := newMortalPlay(t, 48, c.fatal, how)
	p.companions, p.companionLag, p.endInterval = c.companions, c.companionLag, c.endInterval
	p.restartAfter, p.listLag = time.Second, 50*time.Millisecond
	p.cluster.readLists()
	return p
}

// commonEndPeriod is how long these plays last: several items may need all of their attempts, one after the other.
const commonEndPeriod = 40 * time.Second

// Guards against an item that is sent on because other engines end together with those that it ends.
func TestItemThatEndsEnginesTogetherIsSentToThreeAtMost(t *testing.T) {
	for _, common := range commonEnds {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			t.Run(fmt.Sprintf("%s, %s", common.name, how), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					p := common.play(t, how)
					submit(t, p.cluster.start("a"), p.step, p.items)
					time.Sleep(commonEndPeriod)
					p.logTimeline()
					p.check()
				})
			})
		}
	}
}

// Guards against the same where the next owner of the step decides.
func TestNextOwnerKnowsEnginesThatEndedTogether(t *testing.T) {
	for _, common := range commonEnds {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			t.Run(fmt.Sprintf("%s, %s", common.name, how), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					p := common.play(t, how)
					a := p.cluster.start("a")
					p.cluster.start("b")
					time.AfterFunc(3*time.Second, func() { p.cluster.crash(a) })
					submit(t, a, p.step, p.items)
					time.Sleep(commonEndPeriod)
					p.logTimeline()
					p.check()
				})
			})
		}
	}
}

// Guards against an item in two open steps whose owners make their attempts at the same time.
func TestItemInTwoOpenStepsIsSentToThreeAtMost(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			t.Run(fmt.Sprintf("%s apart, %s", gap, how), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					p := newMortalPlay(t, 48, 1, how)
					a, b := p.cluster.start("a"), p.cluster.start("b")
					time.Sleep(time.Second)
					other := p.step
					other.ID = "s2"
					submit(t, a, p.step, p.items)
					time.Sleep(gap)
					submit(t, b, other, p.items)
					time.Sleep(19 * time.Second)
					p.logTimeline()
					p.check()
				})
			})
		}
	}
}

// Guards against early runs of a step that don't know under which of its items engines ended in the step before.
func TestEarlyRunsKnowEnginesThatEndedInTheStepBefore(t *testing.T) {
	for _, before := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		for _, away := range []time.Duration{4 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("after %s, store away for %s", before, away), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
					vms := []*testVM{p.cluster.start("a"), p.cluster.start("b"), p.cluster.start("c")}
					time.Sleep(time.Second)
					submit(t, vms[0], p.step, p.items)
					time.Sleep(before)
					p.cluster.store.SetDown(true)
					other := p.step
					other.ID = "s2"
					for _, v := range vms[1:] {
						go func() { _ = v.Submit(t.Context(), other, p.items) }()
						time.Sleep(200 * time.Millisecond)
					}
					time.Sleep(away)
					p.cluster.store.SetDown(false)
					time.Sleep(25 * time.Second)
					p.logTimeline()
					p.check()
				})
			})
		}
	}
}

// Guards against an item whose ended engines are forgotten because one of its texts is complete, but of weight versions that
// the step doesn't allow.
func TestRejectedTextLeavesEndsCounted(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 12, 1, endsMidStream)
		p.sparedAttempt, p.step.SingleVersion = 3, true
		submit(t, p.cluster.start("a"), p.step, p.items)
		time.Sleep(commonEndPeriod)
		p.logTimeline()
		p.check()
	})
}

// Guards against copies of a step that run early at VMs which can't call each other, and whose ended engines are forgotten
// because another copy is accepted.
func TestAcceptedCopyKnowsEnginesThatEndedUnderEarlierOnes(t *testing.T) {
	for _, away := range []time.Duration{4 * time.Second, 12 * time.Second, 20 * time.Second} {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			t.Run(fmt.Sprintf("store away for %s, %s", away, how), func(t *testing.T) { playRetriedSubmission(t, away, how, true) })
		}
	}
}

// Guards against early runs of more copies of a step than engines may end under an item.
func TestEarlyRunsKnowEnginesThatEndedUnderEarlierCopies(t *testing.T) {
	for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
		t.Run(how.String(), func(t *testing.T) { playRetriedSubmission(t, 40*time.Second, how, false) })
	}
}

// playRetriedSubmission plays a step that a trainer submits at one VM after the other while the store is away.
func playRetriedSubmission(t *testing.T, away time.Duration, how fatality, isolated bool) {
	bubble(t, func(t *testing.T) {
		p := newMortalPlay(t, 48, 1, how)
		p.cluster.isolated = isolated
		var vms []*testVM
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			vms = append(vms, p.cluster.start(name))
		}
		time.Sleep(time.Second)
		p.cluster.store.SetDown(true)
		time.AfterFunc(away, func() { p.cluster.store.SetDown(false) })
		for _, v := range vms {
			if v.Submit(t.Context(), p.step, p.items) == nil {
				break
			}
		}
		time.Sleep(25 * time.Second)
		p.logTimeline()
		p.checkLimit()
		// All copies run the same items beside the fatal one, which may be held back as well.
		for item, r := range p.results() {
			if ends, _ := p.endsUnder(item); ends < maxEndsPerItem && r.Outcome != Completed {
				t.Errorf("item %s has the result %q after %d ends", item, r.Outcome, ends)
			}
		}
	})
}
