package fault

import (
	"fmt"
	"strings"
)

// KeyUnknown reports the ID of a key that was never granted.
type KeyUnknown struct {
	KeyID string
}

// Error implements error.
func (e *KeyUnknown) Error() string { return fmt.Sprintf("key %q was never granted", e.KeyID) }

// Code implements Failure.
func (*KeyUnknown) Code() Code { return CodeKeyUnknown }

// RequestUnknown reports a request of which no reachable VM holds an event.
type RequestUnknown struct {
	Request string
	// Missing lists the VMs that did not answer and may hold events of the request.
	Missing []string
}

// Error implements error.
func (e *RequestUnknown) Error() string {
	text := fmt.Sprintf("no event of request %q found", e.Request)
	if len(e.Missing) > 0 {
		text += "; these VMs did not answer: " + strings.Join(e.Missing, ", ")
	}
	return text
}

// Code implements Failure.
func (*RequestUnknown) Code() Code { return CodeRequestUnknown }

// EditPending reports an accepted edit that is not known to be in force on all
// VMs.
type EditPending struct {
	Revision uint64
	// VMs lists the VMs that have not confirmed the revision.
	VMs []string
}

// Error implements error.
func (e *EditPending) Error() string {
	return fmt.Sprintf("revision %d is accepted but not confirmed by %s", e.Revision, strings.Join(e.VMs, ", "))
}

// Code implements Failure.
func (*EditPending) Code() Code { return CodeEditPending }

// EditOutcomeUnknown reports an edit whose answer was not received, so that the edit
// may have been accepted. It is safe to repeat the edit with the same ID.
type EditOutcomeUnknown struct {
	EditID string
	// Cause is the code of the failure to receive the answer.
	Cause Code
}

// Error implements error.
func (e *EditOutcomeUnknown) Error() string {
	return fmt.Sprintf("the edit may or may not have been accepted (%s); repeat it with --edit-id %s", e.Cause, e.EditID)
}

// Code implements Failure.
func (*EditOutcomeUnknown) Code() Code { return CodeEditOutcomeUnknown }

// ConfigurationInvalid reports a checked configuration with errors.
type ConfigurationInvalid struct {
	Errors, Warnings int
}

// Error implements error.
func (e *ConfigurationInvalid) Error() string {
	return fmt.Sprintf("configuration: errors: %d, warnings: %d", e.Errors, e.Warnings)
}

// Code implements Failure.
func (*ConfigurationInvalid) Code() Code { return CodeConfigurationInvalid }

// ConfigurationWarnings reports a checked configuration with warnings, but no errors.
type ConfigurationWarnings struct {
	Warnings int
}

// Error implements error.
func (e *ConfigurationWarnings) Error() string {
	return fmt.Sprintf("configuration: errors: 0, warnings: %d", e.Warnings)
}

// Code implements Failure.
func (*ConfigurationWarnings) Code() Code { return CodeConfigurationWarnings }
