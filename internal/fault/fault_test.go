package fault

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestCodeOfWrappedFailure(t *testing.T) {
	err := errors.Wrap(errors.WithStack(&QueueFull{Account: "a", Wait: time.Second}), "acquire")
	if got := CodeOf(err); got != CodeQueueFull {
		t.Errorf("CodeOf = %q, want %q", got, CodeQueueFull)
	}
	if got := RetryAfterOf(err, time.Minute); got != time.Second {
		t.Errorf("RetryAfterOf = %v, want 1s", got)
	}
	if !Is[*QueueFull](err) || Is[*Draining](err) {
		t.Error("Is does not distinguish the types of failures")
	}
}

// Guards against a lease that is released while an order under it may still be executed.
func TestMayTakeEffect(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"answered", nil, false},
		{"not answered", &StoreUnavailable{EffectUnknown: true}, true},
		{"not written", &StoreUnavailable{}, false},
		{"refused", &PlatformRefused{Status: 409}, false},
		{"fenced", &OrderFenced{}, false},
		{"not sent without the lease", &LeaseLost{}, false},
		{"no answer of an upstream", &UpstreamFailed{}, true},
		{"upstream not reached", WithExecution(&UpstreamFailed{}, NotRun), false},
	} {
		if got := MayTakeEffect(errors.Wrap(c.err, "order")); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
