package standin

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// The results of two runs can be compared only if both runs send the same
// requests.
func TestLoadPlanIsRepeatable(t *testing.T) {
	a := LoadAccount{Name: "flood", Rate: 100, MaxTokens: 64, Sigma: 0.8, Groups: 20, PromptWords: 5}
	first, second := a.generateRequests(2*time.Second, 7), a.generateRequests(2*time.Second, 7)
	if len(first) < 150 || len(first) > 250 {
		t.Errorf("%d requests in 2 s at 100 per second", len(first))
	}
	if !reflect.DeepEqual(first, second) {
		t.Error("two runs of one plan differ")
	}
}

// Capacity that an account does not request is divided among the other accounts
// by their shares. An account that requests more than its share is entitled only
// to its share of the remaining capacity.
func TestShareRatioUsesMaxMinFairness(t *testing.T) {
	accounts := []AccountResult{
		{Name: "flood", Share: 100, OfferedTokens: 10000, Tokens: 800},
		{Name: "small", Share: 100, OfferedTokens: 100, Tokens: 50},
		{Name: "large", Share: 200, OfferedTokens: 5000, Tokens: 150},
	}
	lowest := compareWithShares(accounts)
	// Of 1000 tokens, small is entitled to the 100 that it requests, flood to 300
	// and large to 600.
	for i, want := range []float64{800.0 / 300, 0.5, 0.25} {
		if math.Abs(accounts[i].ShareRatio-want) > 1e-9 {
			t.Errorf("%s got %.3f of its share, expected %.3f", accounts[i].Name, accounts[i].ShareRatio, want)
		}
	}
	if lowest != accounts[2].ShareRatio {
		t.Errorf("lowest share ratio is %.3f", lowest)
	}
}

// The service stops at a fault and reaches its expected rate two seconds later.
func TestRecoveryEndsAtExpectedRate(t *testing.T) {
	plan := LoadPlan{Seconds: 10, Faults: []LoadFault{{Name: "vm", AtSeconds: 4, RemainingPercent: 50}}}
	served := make([]int64, 44)
	for i := range served {
		switch {
		case i < 16:
			served[i] = 100
		case i >= 24:
			served[i] = 50
		}
	}
	got := recoveries(plan, served)
	if len(got) != 1 || got[0].RecoverySeconds != 2 {
		t.Errorf("%+v", got)
	}
}
