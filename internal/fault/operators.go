package fault

import (
	"fmt"
	"strings"
)

// KeyUnknown reports a key ID that no edit ever granted.
type KeyUnknown struct {
	KeyID string
}

// Error implements error.
func (e *KeyUnknown) Error() string { return fmt.Sprintf("no key %q was ever granted", e.KeyID) }

// Code implements Failure.
func (*KeyUnknown) Code() Code { return CodeKeyUnknown }

// RequestUnknown reports a request of which no reachable VM keeps an event.
type RequestUnknown struct {
	Request string
	// Missing names the VMs that did not answer and may keep some.
	Missing []string
}

// Error implements error.
func (e *RequestUnknown) Error() string {
	text := fmt.Sprintf("no event of request %q is kept", e.Request)
	if len(e.Missing) > 0 {
		text += "; these VMs did not answer: " + strings.Join(e.Missing, ", ")
	}
	return text
}

// Code implements Failure.
func (*RequestUnknown) Code() Code { return CodeRequestUnknown }

// EditPending reports an accepted edit that is not known to be in force
// everywhere.
type EditPending struct {
	Revision uint64
	// VMs have not confirmed the revision.
	VMs []string
}

// Error implements error.
func (e *EditPending) Error() string {
	return fmt.Sprintf("revision %d is accepted but not confirmed by %s", e.Revision, strings.Join(e.VMs, ", "))
}

// Code implements Failure.
func (*EditPending) Code() Code { return CodeEditPending }

// EditOutcomeUnknown reports an edit whose answer was lost: it may have been
// accepted. A repeat with the same ID is harmless.
type EditOutcomeUnknown struct {
	EditID string
	// Cause is the code of the failure that lost the answer.
	Cause Code
}

// Error implements error.
func (e *EditOutcomeUnknown) Error() string {
	return fmt.Sprintf("the edit may or may not have been accepted (%s); repeat it with --edit-id %s", e.Cause, e.EditID)
}

// Code implements Failure.
func (*EditOutcomeUnknown) Code() Code { return CodeEditOutcomeUnknown }
