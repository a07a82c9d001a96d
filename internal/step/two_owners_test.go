package step

import (
	"fmt"
	"testing"
	"time"
)

// Guards against sound items that are abandoned because their last attempts run at the same time as that of an item at
// another VM which ends several engines together.
func TestLastAttemptsOfOtherVMsRunOneAtATime(t *testing.T) {
	for companions := 1; companions <= 4; companions++ {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			for _, n := range []int{12, 16, 20, 24} {
				t.Run(fmt.Sprintf("%d companions, %s, %d items", companions, how, n), func(t *testing.T) {
					bubble(t, func(t *testing.T) {
						c := commonEnd{fatal: 1, companions: companions}
						p := c.play(t, how)
						p.items = p.items[:n]
						a, b := p.cluster.start("a"), p.cluster.start("b")
						time.Sleep(time.Second)
						other := p.step
						other.ID = "s2"
						var others []Item
						for _, item := range p.items {
							item.ID = "other-" + item.ID
							others = append(others, item)
						}
						submit(t, b, other, others)
						submit(t, a, p.step, p.items)
						time.Sleep(commonEndPeriod)
						p.logTimeline()
						p.check()
						p.step, p.items = other, others
						p.checkSound()
					})
				})
			}
		}
	}
}

// Guards against sound items that are abandoned because the next owner, which doesn't know when engines ended, makes their
// last attempts beside that of an item that ends several engines together.
func TestLastAttemptsOfNextOwnerRunOneAtATime(t *testing.T) {
	for companions := 1; companions <= 4; companions++ {
		for _, how := range []fatality{endsBeforeAnswer, endsMidStream} {
			for _, after := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d companions, %s, after %s", companions, how, after), func(t *testing.T) {
					bubble(t, func(t *testing.T) {
						p := commonEnd{fatal: 1, companions: companions}.play(t, how)
						a := p.cluster.start("a")
						time.AfterFunc(after, func() {
							p.cluster.crash(a)
							p.cluster.start("b")
						})
						submit(t, a, p.step, p.items)
						time.Sleep(commonEndPeriod)
						p.logTimeline()
						p.check()
					})
				})
			}
		}
	}
}
