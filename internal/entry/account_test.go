package entry

import (
	"context"
	"net/http"
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/dispatch"
)

// Two client accounts send identical requests with the same idempotency key,
// and name an account in the query and in a header, where it must be ignored.
// If a VM confused the accounts, one would pay for the other's engines or
// receive the answer to the other's deposit.
func TestRequestRunsOnlyForTheAccountOfItsKey(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engine("e1", scripted(func(s *script) { s.complete() }))
	desk := newChargingDesk(h)
	works := make(chan dispatch.Work, 16)
	h.dispatcher.hook = func(_ context.Context, work dispatch.Work) error {
		works <- work
		return nil
	}
	for _, c := range []struct {
		key     string
		account contract.Account
	}{{testKey, testAccount}, {otherKey, "brazicod"}} {
		as := func(q *http.Request) {
			q.Header.Set("Authorization", "Bearer "+c.key)
			q.Header.Set("X-Account", "strathallan")
			q.Header.Set("Idempotency-Key", "tree-17")
		}
		for _, got := range []answer{
			h.call(http.MethodPost, "/v1/generate?account=strathallan", generateText, as),
			h.call(http.MethodPost, "/v1/services/desk/deposit?account=strathallan", "tree 17", as),
		} {
			if got.status != http.StatusOK {
				t.Errorf("%s: %d %s", c.account, got.status, got.body)
			}
			var work dispatch.Work
			select {
			case work = <-works:
			default:
				t.Errorf("a request of %s was answered without being dispatched", c.account)
				continue
			}
			if work.Account != c.account || work.Contract.Account != c.account {
				t.Errorf("a request of %s ran for %s under the contract of %s", c.account, work.Account, work.Contract.Account)
			}
		}
	}
	if runs := desk.count("tree 17"); runs != 2 {
		t.Errorf("the deposits of two accounts ran %d times, want 2", runs)
	}
	if got := h.call(http.MethodPost, "/v1/generate", `{"model":"berry-1","prompt":"p","maxTokens":1,"account":"brazicod"}`); got.status != http.StatusBadRequest {
		t.Errorf("a body that names an account got %d %s", got.status, got.body)
	}
}
