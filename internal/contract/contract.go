// Package contract contains the configuration: contracts and keys. Each client account has
// one contract, which sets all its limits. A key authenticates callers of an account.
// Edits are applied strictly in the order of their revisions.
package contract

import "time"

// Account names a client account.
type Account string

// Revision is the number of an accepted edit, counted from 1. The revision in force never
// decreases.
type Revision uint64

// Contract holds everything that operators set for a client account.
type Contract struct {
	Account Account `json:"account" validate:"required,max=64,excludesall=/"`
	// Share is the account's weight when engine time is shared among all accounts.
	Share int `json:"share" validate:"min=1,max=10000"`
	// Staleness limits the age of delivered samples.
	Staleness Staleness `json:"staleness"`
	// Spending limits the cost of upstreams that are ordered for the account.
	Spending Spending `json:"spending"`
	// Reclaimable limits how much repeatable work may run on reclaimable upstreams.
	Reclaimable Reclaimable `json:"reclaimable"`
	// Isolation limits the service of a cut-off VM for the account.
	Isolation Isolation `json:"isolation"`
	// Limits are the limits of the account's requests on each VM.
	Limits Limits `json:"limits"`
}

// Staleness limits a sample's age at its delivery.
type Staleness struct {
	// MaxVersions is the largest number of weight versions by which a sample may lag.
	MaxVersions int64 `json:"maxVersions" validate:"min=0,max=1000"`
	// MaxSeconds is the longest time in seconds since the oldest weight version in the
	// sample was superseded; 0 means no limit.
	MaxSeconds int64 `json:"maxSeconds" validate:"min=0,max=86400"`
}

// Spending limits the rate of spending.
type Spending struct {
	// CentsPerHour is the largest total price of the account's upstreams.
	CentsPerHour int64 `json:"centsPerHour" validate:"min=0"`
}

// Reclaimable limits the use of reclaimable upstreams.
type Reclaimable struct {
	// Percent is the largest share of the account's repeatable work on
	// reclaimable upstreams.
	Percent int `json:"percent" validate:"min=0,max=100"`
}

// Isolation limits the service of a VM whose configuration is not confirmed to be current.
type Isolation struct {
	// ServeSeconds is how long a VM continues to accept the keys that it knows.
	ServeSeconds int64 `json:"serveSeconds" validate:"min=0,max=86400"`
}

// ServeDuration returns ServeSeconds as a duration.
func (i Isolation) ServeDuration() time.Duration { return time.Duration(i.ServeSeconds) * time.Second }

// Limits are the limits of one account's requests on one VM.
type Limits struct {
	// Queue is the largest number of queued requests.
	Queue int `json:"queue" validate:"min=1,max=100000"`
	// Running is the largest number of running requests.
	Running int `json:"running" validate:"min=1,max=100000"`
	// Open is the largest number of open calls. A call is open while its body is sent,
	// while its request is queued or running, and while its answer is read.
	Open int `json:"open" validate:"min=1,max=100000"`
	// BodyBytes is the largest size of a request's body.
	BodyBytes int64 `json:"bodyBytes" validate:"min=1,max=67108864"`
}

// DefaultContract returns a contract with conservative limits. It allows no spending.
func DefaultContract(account Account) Contract {
	return Contract{
		Account:   account,
		Share:     100,
		Staleness: Staleness{MaxVersions: 2, MaxSeconds: 1800},
		Isolation: Isolation{ServeSeconds: 300},
		Limits:    Limits{Queue: 256, Running: 256, Open: 1024, BodyBytes: 1 << 20},
	}
}
