package standin

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// The figures of two runs are compared, so both must send the same requests.
func TestLoadDrawsTheSameRequestsAgain(t *testing.T) {
	a := LoadAccount{Name: "flood", Rate: 100, MaxTokens: 64, Sigma: 0.8, Groups: 20, PromptWords: 5}
	first, second := a.draw(2*time.Second, 7), a.draw(2*time.Second, 7)
	if len(first) < 150 || len(first) > 250 {
		t.Errorf("%d requests in 2s at 100 a second", len(first))
	}
	if !reflect.DeepEqual(first, second) {
		t.Error("the requests differ")
	}
}

// What an account does not ask for belongs to the others by their shares; an
// account that floods is entitled to no more than its share of the rest.
func TestOverShareIsJudgedByMaxMinFairness(t *testing.T) {
	accounts := []AccountResult{
		{Name: "flood", Share: 100, OfferedTokens: 10000, Tokens: 800},
		{Name: "small", Share: 100, OfferedTokens: 100, Tokens: 50},
		{Name: "large", Share: 200, OfferedTokens: 5000, Tokens: 150},
	}
	worst := compareWithShares(accounts)
	// 1000 tokens: small is entitled to its 100, flood to 300, large to 600.
	for i, want := range []float64{800.0 / 300, 0.5, 0.25} {
		if math.Abs(accounts[i].OverShare-want) > 1e-9 {
			t.Errorf("%s got %.3f of its share, expected %.3f", accounts[i].Name, accounts[i].OverShare, want)
		}
	}
	if worst != accounts[2].OverShare {
		t.Errorf("worst %.3f", worst)
	}
}

// Service falls to nothing at a fault and comes back two seconds later.
func TestRecoveryIsTheTimeUntilServiceIsBack(t *testing.T) {
	plan := LoadPlan{Seconds: 10, Faults: []LoadFault{{Name: "vm", AtSeconds: 4, Keeps: 50}}}
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
