package fault

import (
	"fmt"
	"time"
)

// Remote is a failure that another VM reported. Its code is that VM's code.
type Remote struct {
	VM         string
	RemoteCode Code
	Wait       time.Duration
}

// Error implements error.
func (e *Remote) Error() string { return fmt.Sprintf("VM %s reported %s", e.VM, e.RemoteCode) }

// Code implements Failure.
func (e *Remote) Code() Code { return e.RemoteCode }

// RetryAfter implements RetryAfterer.
func (e *Remote) RetryAfter() time.Duration { return e.Wait }
