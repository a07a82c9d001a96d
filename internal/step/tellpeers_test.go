package step

import (
	"testing"

	"dogwoodpond/internal/event"
)

// Guards against lost answers of a peer that can't be read and that nobody hears of.
func TestUnreadableLostAnswersOfPeerAreReported(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		reports := 0
		cl.observe = func(r event.Record) {
			if r.Number == event.RowUnreadable {
				reports++
			}
		}
		v := cl.start("a")
		for _, body := range []string{"", "[{", `{"a":1}`, `[{"account":1}]`} {
			v.NoteLostAnswers([]byte(body))
		}
		if reports != 4 || !v.suspicions.Empty() {
			t.Errorf("%d of 4 unreadable messages were reported; suspicions noted: %v", reports, !v.suspicions.Empty())
		}
	})
}
