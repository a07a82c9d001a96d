package step

import "testing"

// Guards against last attempts that wait for an item whose length is unknown although complete texts tell how long it may be.
func TestExpectedEvents(t *testing.T) {
	var rates eventRates
	check := func(tokens, want float64) {
		t.Helper()
		if got := rates.expectedEvents("lm", tokens); got != want {
			t.Errorf("%g events of a text with %g tokens, want %g", got, tokens, want)
		}
	}
	check(0, 0)
	check(10, 0)
	rates.note("lm", 40, 0)
	check(0, 40)
	check(10, 40)
	rates.note("other", 8, 0)
	rates.note("lm", 40, 20)
	check(0, 40)
	check(10, 20)
}
