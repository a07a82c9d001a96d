// Package request is the aggregate of callers' requests: which may be repeated,
// and the claims that let a non-idempotent request run at most once.
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
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/service"
)

// claimRow is the value of a claim's row. Its transaction's nonce names the
// claimer.
type claimRow struct {
	Account     contract.Account `json:"account"`
	Fingerprint string           `json:"fingerprint"`
	// Answer is set once the outcome is known.
	Answer *service.Answer `json:"answer,omitempty"`
}

// Claims keeps the claims of non-idempotent requests in the table service, so
// that all VMs together run each at most once. It is safe for concurrent use.
type Claims struct {
	tables platform.Tables

	mu sync.Mutex
	// running holds the rows of the claims that this process runs now.
	running map[string]struct{}
}

// NewClaims returns the claims kept in tables.
func NewClaims(tables platform.Tables) *Claims {
	return &Claims{tables: tables, running: make(map[string]struct{})}
}

// Claim is the right to run a request.
type Claim struct {
	account     contract.Account
	key         string
	nonce       string
	fingerprint string
	// Answer is set when the request ran before; then it must not run again.
	Answer *service.Answer
}

// rowKey names the row of an account's idempotency key. Escaping keeps the two
// parts apart: otherwise one account could name another account's claim.
func rowKey(account contract.Account, idempotencyKey string) string {
	return "claim/" + url.PathEscape(string(account)) + "/" + url.PathEscape(idempotencyKey)
}

// Fingerprint identifies the content of a call of the named service.
func Fingerprint(name string, call service.Call) string {
	h := sha256.New()
	for _, part := range []string{name, call.Method, call.Path, call.Query.Encode(), string(call.Body)} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Take claims an idempotency key of an account. After any failure the request
// must not run: *fault.ClaimMismatch when the key was used for another request,
// *fault.ClaimInProgress when this process is running it,
// *fault.ClaimUnknown when it was claimed and its outcome is not known, and
// *fault.StoreUnavailable. The holder of a claim ends it by Finish, Withdraw or
// Leave.
func (c *Claims) Take(ctx context.Context, account contract.Account, idempotencyKey, fingerprint string) (Claim, error) {
	claim := Claim{account: account, key: rowKey(account, idempotencyKey), fingerprint: fingerprint}
	for range takeTries {
		claim.nonce = platform.NewNonce()
		err := c.insert(ctx, claim)
		if err == nil {
			c.begin(claim)
			return claim, nil
		}
		if !fault.Is[*fault.PreconditionFailed](err) {
			return Claim{}, err
		}
		repeated, withdrawn, err := c.repeat(ctx, claim, idempotencyKey)
		if !withdrawn {
			return repeated, err
		}
	}
	return Claim{}, errors.WithStack(&fault.ClaimUnknown{IdempotencyKey: idempotencyKey})
}

func (c *Claims) insert(ctx context.Context, claim Claim) error {
	return platform.CommitSurely(ctx, c.tables, platform.Txn{
		Nonce:         claim.nonce,
		Preconditions: []platform.Precondition{{Key: claim.key}},
		Writes:        []platform.Write{{Key: claim.key, Value: claim.row(nil)}},
	})
}

// repeat answers for a key that was claimed before. withdrawn tells that the
// claim is gone again, so that the key can be claimed.
func (c *Claims) repeat(ctx context.Context, claim Claim, idempotencyKey string) (repeated Claim, withdrawn bool, err error) {
	row, err := c.tables.Get(ctx, claim.key)
	if err != nil {
		return Claim{}, false, err
	}
	if !row.Exists() {
		return Claim{}, true, nil
	}
	var kept claimRow
	if err := json.Unmarshal(row.Value, &kept); err != nil {
		return Claim{}, false, errors.WithStack(&fault.Internal{Where: "claim"})
	}
	if kept.Fingerprint != claim.fingerprint || kept.Account != claim.account {
		return Claim{}, false, errors.WithStack(&fault.ClaimMismatch{})
	}
	if kept.Answer != nil {
		claim.Answer = kept.Answer
		return claim, false, nil
	}
	// A claim without an outcome may be running on another VM, or that VM may
	// have died. Only a run in this very process is known to go on.
	if c.isRunning(claim) {
		return Claim{}, false, errors.WithStack(&fault.ClaimInProgress{Wait: inProgressWait})
	}
	return Claim{}, false, errors.WithStack(&fault.ClaimUnknown{IdempotencyKey: idempotencyKey})
}

const (
	// takeTries bounds how often a key is claimed that others give back.
	takeTries = 3
	// inProgressWait is when the caller of a running request may ask again.
	inProgressWait = time.Second
	// settleTries bounds how often the end of a claim is written.
	settleTries = 4
	// settlePause is the pause between the tries.
	settlePause = 100 * time.Millisecond
)

// Finish stores the outcome for repeats. Without it a repeat is told "unknown",
// which stays true. It fails with *fault.StoreUnavailable.
func (c *Claims) Finish(ctx context.Context, claim Claim, answer service.Answer) error {
	defer c.Leave(claim)
	return c.settle(ctx, claim, platform.Write{Key: claim.key, Value: claim.row(&answer)})
}

// Withdraw gives a claim back whose request certainly never ran, so that a
// repeat can run. It fails with *fault.StoreUnavailable; then a repeat is told
// "unknown".
func (c *Claims) Withdraw(ctx context.Context, claim Claim) error {
	defer c.Leave(claim)
	return c.settle(ctx, claim, platform.Write{Key: claim.key, Delete: true})
}

// Leave ends a claim whose request has an unknown outcome: from now on this
// process can't say that it is in progress.
func (c *Claims) Leave(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, claim.key)
}

// settle replaces the claim's row, until that took effect or the tries are
// used up. A row with another nonce is this claim's settled one, or a later
// claim after this one's withdrawal; neither may be touched.
func (c *Claims) settle(ctx context.Context, claim Claim, write platform.Write) error {
	var last error
	for range settleTries {
		row, err := c.tables.Get(ctx, claim.key)
		if err == nil && row.Nonce != claim.nonce {
			return nil
		}
		if err == nil {
			err = c.tables.Commit(ctx, platform.Txn{
				Nonce:         platform.NewNonce(),
				Preconditions: []platform.Precondition{{Key: claim.key, Version: row.Version}},
				Writes:        []platform.Write{write},
			})
		}
		if err == nil {
			return nil
		}
		last = err
		select {
		case <-ctx.Done():
			return last
		case <-time.After(settlePause):
		}
	}
	return last
}

func (c *Claims) begin(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[claim.key] = struct{}{}
}

func (c *Claims) isRunning(claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.running[claim.key]
	return running
}

// row returns the value of the claim's row.
func (c Claim) row(answer *service.Answer) []byte {
	text, err := json.Marshal(claimRow{Account: c.account, Fingerprint: c.fingerprint, Answer: answer})
	if err != nil {
		panic(err)
	}
	return text
}
