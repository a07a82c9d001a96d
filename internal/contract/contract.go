// Package contract is the aggregate of contracts and keys. One contract per
// client account drives every limit; keys let callers act for an account.
// Edits are applied strictly in the order of their revisions.
package contract

import "time"

// Account names a client account.
type Account string

// Revision numbers the accepted edits from 1. It never decreases.
type Revision uint64

// Contract holds everything that an operator decides for a client account.
type Contract struct {
	Account Account `json:"account" validate:"required,max=64,excludesall=/"`
	// Share is the account's weight among all accounts for engine time.
	Share int `json:"share" validate:"min=1,max=10000"`
	// Staleness bounds the age of delivered samples.
	Staleness Staleness `json:"staleness"`
	// Spending bounds what upstreams ordered for the account may cost.
	Spending Spending `json:"spending"`
	// Reclaimable says how much repeatable work may run on reclaimable upstreams.
	Reclaimable Reclaimable `json:"reclaimable"`
	// Isolation says what a cut-off VM may do for the account.
	Isolation Isolation `json:"isolation"`
	// Limits bound the account on each VM.
	Limits Limits `json:"limits"`
}

// Staleness bounds a sample's age at its delivery.
type Staleness struct {
	// MaxVersions is how many weight versions a sample may be behind.
	MaxVersions int64 `json:"maxVersions" validate:"min=0,max=1000"`
	// MaxSeconds is how many seconds may pass since the oldest version in the
	// sample was superseded; 0 means no bound.
	MaxSeconds int64 `json:"maxSeconds" validate:"min=0,max=86400"`
}

// Spending bounds the rate of spending.
type Spending struct {
	// CentsPerHour bounds the price of all upstreams of the account together.
	CentsPerHour int64 `json:"centsPerHour" validate:"min=0"`
}

// Reclaimable bounds the use of reclaimable upstreams.
type Reclaimable struct {
	// Percent is the largest share of the account's repeatable work on
	// reclaimable upstreams.
	Percent int `json:"percent" validate:"min=0,max=100"`
}

// Isolation bounds the service of a VM whose configuration is not confirmed.
type Isolation struct {
	// ServeSeconds is how long a VM goes on with the keys that it knows.
	ServeSeconds int64 `json:"serveSeconds" validate:"min=0,max=86400"`
}

// Duration returns ServeSeconds as a duration.
func (i Isolation) Duration() time.Duration { return time.Duration(i.ServeSeconds) * time.Second }

// Limits bound one account on one VM.
type Limits struct {
	// Queue is how many requests may wait.
	Queue int `json:"queue" validate:"min=1,max=100000"`
	// Running is how many requests may run at once.
	Running int `json:"running" validate:"min=1,max=100000"`
	// Open is how many calls may be open at once: sending their body, waiting,
	// running or reading their answer.
	Open int `json:"open" validate:"min=1,max=100000"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"bodyBytes" validate:"min=1,max=67108864"`
}

// DefaultContract returns a contract with cautious defaults.
func DefaultContract(account Account) Contract {
	return Contract{
		Account:   account,
		Share:     100,
		Staleness: Staleness{MaxVersions: 2, MaxSeconds: 1800},
		Isolation: Isolation{ServeSeconds: 300},
		Limits:    Limits{Queue: 256, Running: 256, Open: 1024, BodyBytes: 1 << 20},
	}
}
