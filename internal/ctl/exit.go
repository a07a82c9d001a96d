package ctl

import "dogwoodpond/internal/fault"

// The exit codes of dogwoodpondctl, one for each class of error. They are part of the
// public interface; docs/OPERATIONS.md lists them.
const (
	ExitOK = 0
	// ExitInternal is a defect or an error of no other class.
	ExitInternal = 1
	// ExitInvalid is an invalid argument, file or edit.
	ExitInvalid = 2
	// ExitCredential is a refused credential.
	ExitCredential = 3
	// ExitNotFound is an unknown client account, key, step or request.
	ExitNotFound = 4
	// ExitConflict is an edit that conflicts with an edit of another operator.
	ExitConflict = 5
	// ExitUnavailable is a VM or store that did not answer; no edit was made.
	ExitUnavailable = 6
	// ExitPending is an accepted edit that was not known to be in force on all VMs within
	// the time of --wait.
	ExitPending = 7
	// ExitUnknown is an edit with an unknown outcome; retry it with the same ID.
	ExitUnknown = 8
	// ExitWarnings is a configuration that was checked and has warnings, but no errors.
	ExitWarnings = 9
)

var exitCodes = map[fault.Code]int{
	fault.CodeBadRequest:         ExitInvalid,
	fault.CodeEditInvalid:        ExitInvalid,
	fault.CodeSettingsInvalid:    ExitInvalid,
	fault.CodeKeyInvalid:         ExitCredential,
	fault.CodeKeyMissing:         ExitCredential,
	fault.CodeAccountUnknown:     ExitNotFound,
	fault.CodeKeyUnknown:         ExitNotFound,
	fault.CodeStepUnknown:        ExitNotFound,
	fault.CodeRequestUnknown:     ExitNotFound,
	fault.CodeRouteUnknown:       ExitNotFound,
	fault.CodeEditConflict:       ExitConflict,
	fault.CodePreconditionFailed: ExitConflict,
	fault.CodeStoreUnavailable:   ExitUnavailable,
	fault.CodePeerUnavailable:    ExitUnavailable,
	fault.CodeEditPending:        ExitPending,
	fault.CodeEditOutcomeUnknown: ExitUnknown,

	fault.CodeConfigurationInvalid:  ExitInvalid,
	fault.CodeConfigurationWarnings: ExitWarnings,
}

// ExitCode returns the exit code for the error that Run returned.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	code, ok := exitCodes[fault.CodeOf(err)]
	if !ok {
		return ExitInternal
	}
	return code
}
