// Package request manages the claims on idempotency keys by which a
// non-idempotent request runs at most once.
package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/service"
)

// claimRow is the value of a claim's row. The row's nonce, which is that of
// the transaction that wrote the row, identifies the claim until its end is stored.
type claimRow struct {
	Account     contract.Account `json:"account"`
	Fingerprint string           `json:"fingerprint"`
	// Answer is set when the request has an outcome.
	Answer *service.Answer `json:"answer,omitempty"`
	// Withdrawn is true when the claim was withdrawn, so that the key can be claimed. The row
	// stays: a late copy of the claim requires that it is absent.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Claims manages the claims of non-idempotent requests in the store, so that each
// request runs at most once across all VMs. It is safe for concurrent use.
type Claims struct {
	tables platformapi.Tables

	mu sync.Mutex
	// running holds the claims whose requests run in this process: their nonces by row key.
	running map[string]string
}

// NewClaims returns the claims that are stored in tables.
func NewClaims(tables platformapi.Tables) *Claims {
	return &Claims{tables: tables, running: make(map[string]string)}
}

// Claim is the right to run a request, or the answer of a request that has run.
type Claim struct {
	account     contract.Account
	key         string
	nonce       string
	fingerprint string
	// Answer is set when the request has already run; then it must not run again.
	Answer *service.Answer
}

// rowKey returns the key of the row for an account's idempotency key. The two
// parts are escaped: otherwise one account could address another's claim.
func rowKey(account contract.Account, idempotencyKey string) string {
	return "claim/" + url.PathEscape(string(account)) + "/" + url.PathEscape(idempotencyKey)
}

// Fingerprint returns a hash of the content of a call to the named service.
func Fingerprint(name string, call service.Call) string {
	h := sha256.New()
	for _, part := range []string{name, call.Method, call.Path, call.Query.Encode(), string(call.Body)} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Acquire claims an idempotency key of an account, or returns the answer of the
// request that ran under it. After any failure the request must not run. It
// fails with *fault.ClaimMismatch when the key was used for another request,
// *fault.ClaimInProgress when the request is running in this process,
// *fault.ClaimUnknown when the key is claimed and the outcome is unknown, and
// *fault.StoreUnavailable. The holder of a claim ends it by Finish, Withdraw or
// Abandon.
func (c *Claims) Acquire(ctx context.Context, account contract.Account, idempotencyKey, fingerprint string) (Claim, error) {
	claim := Claim{account: account, key: rowKey(account, idempotencyKey), fingerprint: fingerprint}
	withdrawnVersion := uint64(0)
	for range maxAcquireTries {
		claim.nonce = platformapi.NewNonce()
		err := c.insert(ctx, claim, withdrawnVersion)
		if err == nil {
			c.markRunning(claim)
			return claim, nil
		}
		if !fault.Is[*fault.PreconditionFailed](err) {
			return Claim{}, err
		}
		existing, withdrawn, err := c.readExisting(ctx, claim, idempotencyKey)
		if withdrawn == nil {
			return existing, err
		}
		withdrawnVersion = withdrawn.Version
	}
	return Claim{}, errors.WithStack(&fault.ClaimUnknown{IdempotencyKey: idempotencyKey})
}

// insert writes a claim's row. version is the version of the row of a withdrawn claim that it
// replaces, or 0 if there is none.
func (c *Claims) insert(ctx context.Context, claim Claim, version uint64) error {
	return platformapi.CommitConfirmed(ctx, c.tables, platformapi.Txn{
		Nonce:         claim.nonce,
		Preconditions: []platformapi.Precondition{{Key: claim.key, Version: version}},
		Writes:        []platformapi.Write{{Key: claim.key, Value: claim.encodeRow(nil)}},
	})
}

// readExisting returns the result of Acquire for a key that is already claimed. If the key can
// be claimed, withdrawn is its row: that of a withdrawn claim, or an absent one.
func (c *Claims) readExisting(ctx context.Context, claim Claim, idempotencyKey string) (existing Claim, withdrawn *platformapi.Row, err error) {
	row, err := c.tables.Get(ctx, claim.key)
	if err != nil {
		return Claim{}, nil, err
	}
	if !row.Exists() {
		return Claim{}, &row, nil
	}
	var stored claimRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Claim{}, nil, errors.WithStack(&fault.Internal{Where: "claim"})
	}
	if stored.Withdrawn {
		return Claim{}, &row, nil
	}
	if stored.Fingerprint != claim.fingerprint || stored.Account != claim.account {
		return Claim{}, nil, errors.WithStack(&fault.ClaimMismatch{})
	}
	if stored.Answer != nil {
		claim.Answer = stored.Answer
		return claim, nil, nil
	}
	// The request of a claim without an outcome may be running on another VM, or
	// that VM may be dead. Only this process's own requests are known to be
	// running.
	if c.isRunning(claim.key, row.Nonce) {
		return Claim{}, nil, errors.WithStack(&fault.ClaimInProgress{Wait: inProgressRetryAfter})
	}
	return Claim{}, nil, errors.WithStack(&fault.ClaimUnknown{IdempotencyKey: idempotencyKey})
}

const (
	// maxAcquireTries limits how often Acquire tries to claim a key whose claims are
	// withdrawn in the meantime.
	maxAcquireTries = 3
	// inProgressRetryAfter is the time after which a caller may send a duplicate of
	// a request that is running.
	inProgressRetryAfter = time.Second
	// maxFinalizeTries limits the tries to write the end of a claim.
	maxFinalizeTries = 4
	// finalizeBackoff is the backoff between these tries.
	finalizeBackoff = 100 * time.Millisecond
)

// Finish ends a claim and stores the answer for duplicates of the request. It fails
// with *fault.StoreUnavailable; duplicates may then get *fault.ClaimUnknown, which
// remains correct.
func (c *Claims) Finish(ctx context.Context, claim Claim, answer service.Answer) error {
	defer c.Abandon(claim)
	return c.finalize(ctx, claim, claim.encodeRow(&answer))
}

// Withdraw ends a claim whose request certainly did not run, so that a duplicate
// can run. It fails with *fault.StoreUnavailable; a duplicate may then get
// *fault.ClaimUnknown.
func (c *Claims) Withdraw(ctx context.Context, claim Claim) error {
	defer c.Abandon(claim)
	return c.finalize(ctx, claim, encode(claimRow{Account: claim.account, Fingerprint: claim.fingerprint, Withdrawn: true}))
}

// Abandon ends a claim whose request has an unknown outcome. A duplicate then gets
// *fault.ClaimUnknown instead of *fault.ClaimInProgress.
func (c *Claims) Abandon(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// After a withdrawal the key may have been claimed again.
	if c.running[claim.key] == claim.nonce {
		delete(c.running, claim.key)
	}
}

// finalize replaces the claim's row and retries until the write took effect, ctx
// ends or the tries are used up. A row with another nonce is this claim's final
// row or a claim made after this one's withdrawal; neither may be changed.
func (c *Claims) finalize(ctx context.Context, claim Claim, value []byte) error {
	var lastErr error
	for range maxFinalizeTries {
		row, err := c.tables.Get(ctx, claim.key)
		if err == nil && row.Nonce != claim.nonce {
			return nil
		}
		if err == nil {
			err = c.tables.Commit(ctx, platformapi.Txn{
				Nonce:         platformapi.NewNonce(),
				Preconditions: []platformapi.Precondition{{Key: claim.key, Version: row.Version}},
				Writes:        []platformapi.Write{{Key: claim.key, Value: value}},
			})
		}
		if err == nil {
			return nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(finalizeBackoff):
		}
	}
	return lastErr
}

func (c *Claims) markRunning(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[claim.key] = claim.nonce
}

func (c *Claims) isRunning(key, nonce string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	running, ok := c.running[key]
	return ok && running == nonce
}

// encodeRow returns the value of the claim's row.
func (c Claim) encodeRow(answer *service.Answer) []byte {
	return encode(claimRow{Account: c.account, Fingerprint: c.fingerprint, Answer: answer})
}

func encode(row claimRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return value
}
