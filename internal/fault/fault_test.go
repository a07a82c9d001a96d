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
