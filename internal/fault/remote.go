package fault

import (
	"fmt"
	"time"
)

// Remote is a failure that another VM reported.
type Remote struct {
	VM string
	// RemoteCode is the code that the other VM reported.
	RemoteCode Code
	Wait       time.Duration
}

// Error implements error.
func (e *Remote) Error() string { return fmt.Sprintf("VM %s reported %s", e.VM, e.RemoteCode) }

// Code implements Failure.
func (e *Remote) Code() Code { return e.RemoteCode }

// RetryAfter implements RetryAfterer.
func (e *Remote) RetryAfter() time.Duration { return e.Wait }
