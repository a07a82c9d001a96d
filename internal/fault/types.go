package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Stable codes of all failures.
const (
	CodeInternal             Code = "internal"
	CodeBadRequest           Code = "bad_request"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeRouteUnknown         Code = "route_unknown"
	CodeKeyMissing           Code = "key_missing"
	CodeKeyInvalid           Code = "key_invalid"
	CodeKeyWithdrawn         Code = "key_withdrawn"
	CodeKeyExposed           Code = "key_exposed"
	CodeAccountUnknown       Code = "account_unknown"
	CodeQueueFull            Code = "queue_full"
	CodeLimitExceeded        Code = "limit_exceeded"
	CodeNoUpstream           Code = "no_upstream"
	CodeUpstreamFailed       Code = "upstream_failed"
	CodeAnswerTruncated      Code = "answer_truncated"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeCallerGone           Code = "caller_gone"
	CodeDraining             Code = "draining"
	CodeConfigurationStale   Code = "configuration_stale"
	CodeStoreUnavailable     Code = "store_unavailable"
	CodePreconditionFailed   Code = "precondition_failed"
	CodeObjectUnknown        Code = "object_unknown"
	CodePlatformRefused      Code = "platform_refused"
	CodeEditConflict         Code = "edit_conflict"
	CodeEditInvalid          Code = "edit_invalid"
	CodeRevisionGap          Code = "revision_gap"
	CodeClaimUnknown         Code = "claim_unknown"
	CodeClaimInProgress      Code = "claim_in_progress"
	CodeClaimMismatch        Code = "claim_mismatch"
	CodeLeaseLost            Code = "lease_lost"
	CodeOrderFenced          Code = "order_fenced"
	CodeStepUnknown          Code = "step_unknown"
	CodeStepMismatch         Code = "step_mismatch"
	CodePullOvertaken        Code = "pull_overtaken"
	CodeSampleStale          Code = "sample_stale"
	CodeSampleUnattributable Code = "sample_unattributable"
	CodeSpendingExceeded     Code = "spending_exceeded"
	CodeSettingsInvalid      Code = "settings_invalid"
	CodePeerUnavailable      Code = "peer_unavailable"
	CodeKeyUnknown           Code = "key_unknown"
	CodeRequestUnknown       Code = "request_unknown"
	CodeEditPending          Code = "edit_pending"
	CodeEditOutcomeUnknown   Code = "edit_outcome_unknown"
	// CodeConfigurationInvalid and CodeConfigurationWarnings are results of dogwoodpondctl.
	CodeConfigurationInvalid  Code = "configuration_invalid"
	CodeConfigurationWarnings Code = "configuration_warnings"
)

// Codes lists all codes in the order of their declaration, for the tests that compare
// the documents with it.
var Codes = []Code{
	CodeInternal,
	CodeBadRequest,
	CodeBodyTooLarge,
	CodeRouteUnknown,
	CodeKeyMissing,
	CodeKeyInvalid,
	CodeKeyWithdrawn,
	CodeKeyExposed,
	CodeAccountUnknown,
	CodeQueueFull,
	CodeLimitExceeded,
	CodeNoUpstream,
	CodeUpstreamFailed,
	CodeAnswerTruncated,
	CodeDeadlineExceeded,
	CodeCallerGone,
	CodeDraining,
	CodeConfigurationStale,
	CodeStoreUnavailable,
	CodePreconditionFailed,
	CodeObjectUnknown,
	CodePlatformRefused,
	CodeEditConflict,
	CodeEditInvalid,
	CodeRevisionGap,
	CodeClaimUnknown,
	CodeClaimInProgress,
	CodeClaimMismatch,
	CodeLeaseLost,
	CodeOrderFenced,
	CodeStepUnknown,
	CodeStepMismatch,
	CodePullOvertaken,
	CodeSampleStale,
	CodeSampleUnattributable,
	CodeSpendingExceeded,
	CodeSettingsInvalid,
	CodePeerUnavailable,
	CodeKeyUnknown,
	CodeRequestUnknown,
	CodeEditPending,
	CodeEditOutcomeUnknown,
	CodeConfigurationInvalid,
	CodeConfigurationWarnings,
}

// Internal reports a defect of the program itself, for example a recovered panic.
type Internal struct {
	Where string
}

// Error implements error.
func (e *Internal) Error() string {
	return fmt.Sprintf("internal failure in %s", e.Where)
}

// Code implements Failure.
func (*Internal) Code() Code { return CodeInternal }

// BadRequest reports a request that can't be processed because of the given field.
type BadRequest struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *BadRequest) Error() string {
	return fmt.Sprintf("bad request: %s: %s", e.Field, e.Problem)
}

// Code implements Failure.
func (*BadRequest) Code() Code { return CodeBadRequest }

// BodyTooLarge reports a request body above the account's limit in bytes.
type BodyTooLarge struct {
	Limit int64
}

// Error implements error.
func (e *BodyTooLarge) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// Code implements Failure.
func (*BodyTooLarge) Code() Code { return CodeBodyTooLarge }

// RouteUnknown reports a path or method that the API does not have. It does not
// contain the path, because a caller may have put a key there by mistake.
type RouteUnknown struct {
	Method string
}

// Error implements error.
func (e *RouteUnknown) Error() string {
	return fmt.Sprintf("no route for this path and method %s", e.Method)
}

// Code implements Failure.
func (*RouteUnknown) Code() Code { return CodeRouteUnknown }

// KeyMissing reports a request without a key.
type KeyMissing struct{}

// Error implements error.
func (*KeyMissing) Error() string { return "no key was presented" }

// Code implements Failure.
func (*KeyMissing) Code() Code { return CodeKeyMissing }

// KeyInvalid reports a key that is malformed, is unknown or has the wrong secret. The
// failure does not distinguish the three cases, so that it reveals nothing to a caller
// that guesses keys.
type KeyInvalid struct{}

// Error implements error.
func (*KeyInvalid) Error() string { return "the presented key is not valid" }

// Code implements Failure.
func (*KeyInvalid) Code() Code { return CodeKeyInvalid }

// KeyWithdrawn reports a key that an operator has withdrawn.
type KeyWithdrawn struct {
	KeyID string
}

// Error implements error.
func (e *KeyWithdrawn) Error() string {
	return fmt.Sprintf("key %s was withdrawn", e.KeyID)
}

// Code implements Failure.
func (*KeyWithdrawn) Code() Code { return CodeKeyWithdrawn }

// KeyExposed reports a request that contains its key's secret or another active key
// outside the Authorization header, in the given part.
type KeyExposed struct {
	Part string
}

// Error implements error.
func (e *KeyExposed) Error() string {
	return fmt.Sprintf("the key's secret must not be in the %s of the request", e.Part)
}

// Code implements Failure.
func (*KeyExposed) Code() Code { return CodeKeyExposed }

// AccountUnknown reports a client account without a contract.
type AccountUnknown struct {
	Account string
}

// Error implements error.
func (e *AccountUnknown) Error() string {
	return fmt.Sprintf("client account %q has no contract", e.Account)
}

// Code implements Failure.
func (*AccountUnknown) Code() Code { return CodeAccountUnknown }

// QueueFull reports a request that was shed because the account's queue is full.
type QueueFull struct {
	Account string
	Wait    time.Duration
}

// Error implements error.
func (e *QueueFull) Error() string {
	return fmt.Sprintf("the queue of client account %q is full", e.Account)
}

// Code implements Failure.
func (*QueueFull) Code() Code { return CodeQueueFull }

// RetryAfter implements RetryAfterer.
func (e *QueueFull) RetryAfter() time.Duration { return e.Wait }

// LimitExceeded reports a request above a limit of the contract.
type LimitExceeded struct {
	Account string
	Limit   string
	Wait    time.Duration
}

// Error implements error.
func (e *LimitExceeded) Error() string {
	return fmt.Sprintf("client account %q is above its limit %s", e.Account, e.Limit)
}

// Code implements Failure.
func (*LimitExceeded) Code() Code { return CodeLimitExceeded }

// RetryAfter implements RetryAfterer.
func (e *LimitExceeded) RetryAfter() time.Duration { return e.Wait }

// NoUpstream reports that no upstream of a pool can accept the request now.
type NoUpstream struct {
	Pool string
	Wait time.Duration
}

// Error implements error.
func (e *NoUpstream) Error() string {
	return fmt.Sprintf("no upstream of pool %q can accept the request", e.Pool)
}

// Code implements Failure.
func (*NoUpstream) Code() Code { return CodeNoUpstream }

// RetryAfter implements RetryAfterer.
func (e *NoUpstream) RetryAfter() time.Duration { return e.Wait }

// UpstreamFailed reports an upstream that refused a request or failed to answer it,
// returned an invalid answer or could not be reached.
type UpstreamFailed struct {
	Upstream string
	Reason   string
	// Answered is true if the upstream answered, with a failure or with what can't be used: it still ran
	// then.
	Answered bool
	// Endless is true if the answer was longer than a proper one can be.
	Endless bool
}

// Error implements error.
func (e *UpstreamFailed) Error() string {
	return fmt.Sprintf("upstream %s failed: %s", e.Upstream, e.Reason)
}

// HasAnswered reports whether err is the failure of an upstream that answered.
func HasAnswered(err error) bool {
	var failed *UpstreamFailed
	return errors.As(err, &failed) && failed.Answered
}

// IsEndless reports whether err is the failure of an upstream whose answer was longer than a proper one can
// be.
func IsEndless(err error) bool {
	var failed *UpstreamFailed
	return errors.As(err, &failed) && failed.Endless
}

// Code implements Failure.
func (*UpstreamFailed) Code() Code { return CodeUpstreamFailed }

// AnswerTruncated reports an upstream's answer that ended before its announced length or
// its terminal event.
type AnswerTruncated struct {
	Upstream string
}

// Error implements error.
func (e *AnswerTruncated) Error() string {
	return fmt.Sprintf("the answer of upstream %s was truncated", e.Upstream)
}

// Code implements Failure.
func (*AnswerTruncated) Code() Code { return CodeAnswerTruncated }

// DeadlineExceeded reports a request whose deadline passed.
type DeadlineExceeded struct {
	Wait time.Duration
}

// Error implements error.
func (*DeadlineExceeded) Error() string { return "the request's deadline passed" }

// Code implements Failure.
func (*DeadlineExceeded) Code() Code { return CodeDeadlineExceeded }

// RetryAfter implements RetryAfterer.
func (e *DeadlineExceeded) RetryAfter() time.Duration { return e.Wait }

// CallerGone reports a request whose caller cancelled it or disconnected.
type CallerGone struct{}

// Error implements error.
func (*CallerGone) Error() string { return "the caller cancelled the request or disconnected" }

// Code implements Failure.
func (*CallerGone) Code() Code { return CodeCallerGone }

// Draining reports a VM that accepts no new work because it is stopping.
type Draining struct {
	Wait time.Duration
}

// Error implements error.
func (*Draining) Error() string { return "this VM is draining" }

// Code implements Failure.
func (*Draining) Code() Code { return CodeDraining }

// RetryAfter implements RetryAfterer.
func (e *Draining) RetryAfter() time.Duration { return e.Wait }

// ConfigurationStale reports a VM whose configuration has not been confirmed as current for
// longer than the contract's isolation bound.
type ConfigurationStale struct {
	Account string
	Age     time.Duration
}

// Error implements error.
func (e *ConfigurationStale) Error() string {
	return fmt.Sprintf("the configuration was last confirmed %s ago", e.Age)
}

// Code implements Failure.
func (*ConfigurationStale) Code() Code { return CodeConfigurationStale }

// StoreUnavailable reports a call to the table or object store that was not answered.
type StoreUnavailable struct {
	Operation string
	// EffectUnknown is true if the call may have taken effect.
	EffectUnknown bool
	// Recovered is true if the store has answered other calls since, so that the call may
	// be repeated without a backoff.
	Recovered bool
}

// Error implements error.
func (e *StoreUnavailable) Error() string {
	return fmt.Sprintf("the store did not answer %s", e.Operation)
}

// Code implements Failure.
func (*StoreUnavailable) Code() Code { return CodeStoreUnavailable }

// PreconditionFailed reports a transaction that was refused because a row did not have the
// expected version. Nothing was written.
type PreconditionFailed struct {
	Row  string
	Want uint64
	Have uint64
}

// Error implements error.
func (e *PreconditionFailed) Error() string {
	return fmt.Sprintf("row %s has version %d, expected %d", e.Row, e.Have, e.Want)
}

// Code implements Failure.
func (*PreconditionFailed) Code() Code { return CodePreconditionFailed }

// ObjectUnknown reports an object that does not exist in the object store.
type ObjectUnknown struct {
	Key string
}

// Error implements error.
func (e *ObjectUnknown) Error() string {
	return fmt.Sprintf("object %s does not exist", e.Key)
}

// Code implements Failure.
func (*ObjectUnknown) Code() Code { return CodeObjectUnknown }

// PlatformRefused reports a call that the platform refused. The call had no effect.
type PlatformRefused struct {
	Operation string
	Status    int
}

// Error implements error.
func (e *PlatformRefused) Error() string {
	return fmt.Sprintf("the platform refused %s with status %d", e.Operation, e.Status)
}

// Code implements Failure.
func (*PlatformRefused) Code() Code { return CodePlatformRefused }

// EditConflict reports an edit that is based on an outdated revision of its contract or key.
type EditConflict struct {
	Subject string
	Base    uint64
	Current uint64
}

// Error implements error.
func (e *EditConflict) Error() string {
	return fmt.Sprintf("edit of %s is based on revision %d, but it changed at revision %d", e.Subject, e.Base, e.Current)
}

// Code implements Failure.
func (*EditConflict) Code() Code { return CodeEditConflict }

// EditInvalid reports an edit with an invalid field.
type EditInvalid struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *EditInvalid) Error() string {
	return fmt.Sprintf("edit refused: %s: %s", e.Field, e.Problem)
}

// Code implements Failure.
func (*EditInvalid) Code() Code { return CodeEditInvalid }

// RevisionGap reports a configuration log entry that does not directly follow the applied
// revision.
type RevisionGap struct {
	Have uint64
	Got  uint64
}

// Error implements error.
func (e *RevisionGap) Error() string {
	return fmt.Sprintf("configuration log entry %d does not directly follow revision %d", e.Got, e.Have)
}

// Code implements Failure.
func (*RevisionGap) Code() Code { return CodeRevisionGap }

// ClaimUnknown reports a duplicate, that is a request repeated under its idempotency key,
// whose first execution has an unknown outcome.
type ClaimUnknown struct {
	IdempotencyKey string
}

// Error implements error.
func (*ClaimUnknown) Error() string {
	return "the outcome of the request with this idempotency key is unknown"
}

// Code implements Failure.
func (*ClaimUnknown) Code() Code { return CodeClaimUnknown }

// ClaimInProgress reports a duplicate, that is a request repeated under its idempotency key,
// whose first execution may still be running.
type ClaimInProgress struct {
	Wait time.Duration
}

// Error implements error.
func (*ClaimInProgress) Error() string { return "the request with this idempotency key is in progress" }

// Code implements Failure.
func (*ClaimInProgress) Code() Code { return CodeClaimInProgress }

// RetryAfter implements RetryAfterer.
func (e *ClaimInProgress) RetryAfter() time.Duration { return e.Wait }

// ClaimMismatch reports an idempotency key that was used before with a different request.
type ClaimMismatch struct{}

// Error implements error.
func (*ClaimMismatch) Error() string { return "this idempotency key was used with a different request" }

// Code implements Failure.
func (*ClaimMismatch) Code() Code { return CodeClaimMismatch }

// LeaseLost reports an action that was refused because its lease is no longer held.
type LeaseLost struct {
	Lease string
	Epoch uint64
}

// Error implements error.
func (e *LeaseLost) Error() string {
	return fmt.Sprintf("lease %s of epoch %d is not held", e.Lease, e.Epoch)
}

// Code implements Failure.
func (*LeaseLost) Code() Code { return CodeLeaseLost }

// LeaseUnconfirmed wraps the failure of an action that did not begin because its lease was not
// confirmed. It has no code of its own: its code is that of Cause, which is *LeaseLost,
// *StoreUnavailable or the cause of a context.
type LeaseUnconfirmed struct {
	Cause error
}

// Error implements error.
func (e *LeaseUnconfirmed) Error() string { return "lease not confirmed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LeaseUnconfirmed) Unwrap() error { return e.Cause }

// OrderFenced reports an order that its receiver refused because it has accepted a newer fencing
// token.
type OrderFenced struct {
	Order string
	Epoch uint64
}

// Error implements error.
func (e *OrderFenced) Error() string {
	return fmt.Sprintf("order %s was fenced (epoch %d)", e.Order, e.Epoch)
}

// Code implements Failure.
func (*OrderFenced) Code() Code { return CodeOrderFenced }

// StepUnknown reports a step that does not exist.
type StepUnknown struct {
	Step string
}

// Error implements error.
func (e *StepUnknown) Error() string {
	return fmt.Sprintf("step %q does not exist", e.Step)
}

// Code implements Failure.
func (*StepUnknown) Code() Code { return CodeStepUnknown }

// StepMismatch reports a step that already exists with a different definition.
type StepMismatch struct {
	Step string
}

// Error implements error.
func (e *StepMismatch) Error() string {
	return fmt.Sprintf("step %q exists with a different definition", e.Step)
}

// Code implements Failure.
func (*StepMismatch) Code() Code { return CodeStepMismatch }

// PullOvertaken reports a pull of samples that was refused because a later pull of the same
// step has been registered.
type PullOvertaken struct {
	Step string
}

// Error implements error.
func (e *PullOvertaken) Error() string {
	return fmt.Sprintf("a later pull of step %q is registered", e.Step)
}

// Code implements Failure.
func (*PullOvertaken) Code() Code { return CodePullOvertaken }

// SampleStale reports a sample older than the contract's staleness bound.
type SampleStale struct {
	Slot string
}

// Error implements error.
func (e *SampleStale) Error() string {
	return fmt.Sprintf("the sample of slot %s is stale", e.Slot)
}

// Code implements Failure.
func (*SampleStale) Code() Code { return CodeSampleStale }

// SampleUnattributable reports a sample whose weight versions are not known for every token.
type SampleUnattributable struct {
	Slot    string
	Problem string
}

// Error implements error.
func (e *SampleUnattributable) Error() string {
	return fmt.Sprintf("the sample of slot %s can't be attributed: %s", e.Slot, e.Problem)
}

// Code implements Failure.
func (*SampleUnattributable) Code() Code { return CodeSampleUnattributable }

// SpendingExceeded reports an order that would exceed the spending rate of a contract.
type SpendingExceeded struct {
	Account string
}

// Error implements error.
func (e *SpendingExceeded) Error() string {
	return fmt.Sprintf("client account %q would exceed its spending rate", e.Account)
}

// Code implements Failure.
func (*SpendingExceeded) Code() Code { return CodeSpendingExceeded }

// SettingsInvalid reports all invalid settings of a settings file.
type SettingsInvalid struct {
	Faults []SettingFault
}

// Error implements error.
func (e *SettingsInvalid) Error() string {
	return fmt.Sprintf("settings: %s", joinFaults(e.Faults))
}

// Contains reports whether the setting of the given field is invalid.
func (e *SettingsInvalid) Contains(field string) bool {
	return slices.ContainsFunc(e.Faults, func(f SettingFault) bool { return f.Field == field })
}

// Code implements Failure.
func (*SettingsInvalid) Code() Code { return CodeSettingsInvalid }

// PeerUnavailable reports a VM that did not answer.
type PeerUnavailable struct {
	// VM is the ID or the address of the VM.
	VM string
}

// Error implements error.
func (e *PeerUnavailable) Error() string {
	return fmt.Sprintf("no answer from %s", e.VM)
}

// Code implements Failure.
func (*PeerUnavailable) Code() Code { return CodePeerUnavailable }

// SettingFault reports a setting with an invalid value.
type SettingFault struct {
	Field   string
	Value   string
	Allowed string
}

func joinFaults(faults []SettingFault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s is %q, allowed: %s", f.Field, f.Value, f.Allowed))
	}
	return strings.Join(lines, "; ")
}
