// Package request is the aggregate of callers' requests: which may be repeated,
// and the claims that let a non-idempotent request run at most once.
package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/service"
)

// claimRow is the value of a claim's row.
type claimRow struct {
	Fingerprint string `json:"fingerprint"`
	// Answer is set once the outcome is known.
	Answer *service.Answer `json:"answer,omitempty"`
}

// Claims keeps the claims of non-idempotent requests in the table service, so
// that all VMs together run each at most once.
type Claims struct {
	tables platform.Tables
}

// NewClaims returns the claims kept in tables.
func NewClaims(tables platform.Tables) *Claims { return &Claims{tables: tables} }

// Claim is the right to run a request.
type Claim struct {
	key         string
	nonce       string
	fingerprint string
	// Answer is set when the request ran before; then it must not run again.
	Answer *service.Answer
}

// Fingerprint identifies the content of a call.
func Fingerprint(call service.Call) string {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query.Encode(), string(call.Body)} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Take claims an idempotency key of an account. It fails with
// *fault.ClaimMismatch, *fault.ClaimUnknown or *fault.StoreUnavailable; after
// any of them the request must not run.
func (c *Claims) Take(ctx context.Context, account contract.Account, idempotencyKey, fingerprint string) (Claim, error) {
	key := "claim/" + string(account) + "/" + idempotencyKey
	claim := Claim{key: key, nonce: platform.NewNonce(), fingerprint: fingerprint}
	err := platform.CommitSurely(ctx, c.tables, platform.Txn{
		Nonce:         claim.nonce,
		Preconditions: []platform.Precondition{{Key: key}},
		Writes:        []platform.Write{{Key: key, Value: encode(claimRow{Fingerprint: fingerprint})}},
	})
	if err == nil {
		return claim, nil
	}
	if !fault.Is[*fault.PreconditionFailed](err) {
		return Claim{}, err
	}
	return c.repeat(ctx, claim, idempotencyKey)
}

// repeat answers for a key that was claimed before.
func (c *Claims) repeat(ctx context.Context, claim Claim, idempotencyKey string) (Claim, error) {
	row, err := c.tables.Get(ctx, claim.key)
	if err != nil {
		return Claim{}, err
	}
	var kept claimRow
	if err := json.Unmarshal(row.Value, &kept); err != nil {
		return Claim{}, errors.WithStack(&fault.Internal{Where: "claim"})
	}
	if kept.Fingerprint != claim.fingerprint {
		return Claim{}, errors.WithStack(&fault.ClaimMismatch{})
	}
	if kept.Answer == nil {
		return Claim{}, errors.WithStack(&fault.ClaimUnknown{IdempotencyKey: idempotencyKey})
	}
	claim.Answer = kept.Answer
	return claim, nil
}

const (
	finishTries  = 3
	finishPeriod = 100 * time.Millisecond
)

// Finish stores the outcome for repeats. Without it a repeat is told "unknown",
// which stays true.
func (c *Claims) Finish(ctx context.Context, claim Claim, answer service.Answer) error {
	value := encode(claimRow{Fingerprint: claim.fingerprint, Answer: &answer})
	var err error
	for range finishTries {
		err = platform.CommitSurely(ctx, c.tables, platform.Txn{
			Nonce:         platform.NewNonce(),
			Preconditions: []platform.Precondition{{Key: claim.key, Version: 1}},
			Writes:        []platform.Write{{Key: claim.key, Value: value}},
		})
		if err == nil || !fault.Is[*fault.StoreUnavailable](err) {
			return err
		}
		time.Sleep(finishPeriod)
	}
	return err
}

// Withdraw gives a claim back whose request certainly never ran, so that a
// repeat can run.
func (c *Claims) Withdraw(ctx context.Context, claim Claim) error {
	row, err := c.tables.Get(ctx, claim.key)
	if err != nil {
		return err
	}
	if row.Nonce != claim.nonce {
		return nil
	}
	return c.tables.Commit(ctx, platform.Txn{
		Nonce:         platform.NewNonce(),
		Preconditions: []platform.Precondition{{Key: claim.key, Version: row.Version}},
		Writes:        []platform.Write{{Key: claim.key, Delete: true}},
	})
}

func encode(row claimRow) []byte {
	text, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return text
}
