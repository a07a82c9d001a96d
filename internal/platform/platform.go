// Package platform holds the ports of everything that the users' platform
// gives, and clients for its HTTP/JSON interfaces. The wire forms of the real
// platform are not known yet; a change of form touches only http.go.
package platform

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version counts the row's writes from 1; 0 means that the row is absent.
	Version uint64 `json:"version"`
	// Nonce is the nonce of the transaction that wrote this version.
	Nonce string `json:"nonce"`
	Value []byte `json:"value"`
}

// Exists reports whether the row is present.
func (r Row) Exists() bool { return r.Version != 0 }

// Precondition demands that a row is at Version; 0 demands that it is absent.
type Precondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is one transaction: all preconditions hold and all writes take effect,
// or nothing does.
type Txn struct {
	// Nonce is unique for each transaction; the written rows carry it.
	Nonce         string         `json:"nonce"`
	Preconditions []Precondition `json:"preconditions"`
	Writes        []Write        `json:"writes"`
}

// Tables is the transactional table service.
//
// Every method fails with *fault.StoreUnavailable when no answer came; its
// EffectUnknown is true when a Commit may have taken effect. Commit fails
// with *fault.PreconditionFailed when a precondition did not hold, and then
// has written nothing. Reads are linearizable. Implementations are safe for
// concurrent use.
type Tables interface {
	// Get returns a row; an absent row has version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys have the prefix and come after
	// the key named after, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store for large bodies. Objects are written once.
type Objects interface {
	// Put stores body under key; a repeat with the same key is harmless.
	Put(ctx context.Context, key string, body []byte) error
	// Fetch returns an object or fails with *fault.ObjectUnknown.
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's lagging list of VMs.
type VM struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failureDomain"`
	Region        string  `json:"region"`
	CallerAddress string  `json:"callerAddress"`
	PeerAddress   string  `json:"peerAddress"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It lags behind.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamState is the state of an upstream in the platform's list.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamStarting UpstreamState = "starting"
	UpstreamLive     UpstreamState = "live"
	UpstreamLeaving  UpstreamState = "leaving"
)

// Upstream is one entry of the platform's lagging list of upstreams.
type Upstream struct {
	ID            string        `json:"id"`
	Kind          UpstreamKind  `json:"kind"`
	FailureDomain string        `json:"failureDomain"`
	Address       string        `json:"address"`
	State         UpstreamState `json:"state"`
	// Reclaimable upstreams are cheaper and can vanish at short notice.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when the upstream refuses orders with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// Service is the service's name, for plain services.
	Service string `json:"service,omitempty"`
	// Model, Adapter and Role tell what an engine was last ordered to serve.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Adaptable engines may be ordered to serve another model or adapter.
	Adaptable bool `json:"adaptable,omitempty"`
	// CentsPerHour is the price of the upstream.
	CentsPerHour int64 `json:"centsPerHour"`
	// Account is the client account for which the upstream was ordered.
	Account string `json:"account,omitempty"`
	// OrderID is the order that started the upstream.
	OrderID string `json:"orderId,omitempty"`
}

// OrderKind is what an order for upstreams asks for.
type OrderKind string

// The kinds of orders to the platform.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order asks the platform to start or stop an upstream.
type Order struct {
	// ID makes the order idempotent.
	ID string `json:"id"`
	// Epoch is the fencing number: the epoch of the giver's lease.
	Epoch         uint64    `json:"epoch"`
	FailureDomain string    `json:"failureDomain"`
	Kind          OrderKind `json:"kind"`
	// Upstream names the upstream to stop.
	Upstream string `json:"upstream,omitempty"`
	// Account, Model, Adapter and Reclaimable describe the engine to start.
	Account     string `json:"account,omitempty"`
	Model       string `json:"model,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	// CentsPerHour is the highest price that a started engine may have.
	CentsPerHour int64 `json:"centsPerHour,omitempty"`
}

// Offer is a kind of engine that the platform could start now.
type Offer struct {
	FailureDomain string `json:"failureDomain"`
	Model         string `json:"model"`
	Reclaimable   bool   `json:"reclaimable"`
	CentsPerHour  int64  `json:"centsPerHour"`
	// Available is how many could be started; it may be out of date.
	Available int `json:"available"`
}

// Upstreams is the platform's interface for the upstreams of failure domains.
type Upstreams interface {
	// Upstreams returns all upstreams, of every failure domain.
	Upstreams(ctx context.Context) ([]Upstream, error)
	// Order gives an order; a repeat with the same ID has no further effect.
	// It fails with *fault.OrderFenced when the platform has seen a newer
	// epoch for the failure domain.
	Order(ctx context.Context, order Order) error
	// Offers returns what could be ordered, in every failure domain.
	Offers(ctx context.Context) ([]Offer, error)
}

// UsageReport is the usage of one client account in one window.
type UsageReport struct {
	// Window is the start of the window in seconds since the Unix epoch.
	Window  int64  `json:"window"`
	Account string `json:"account"`
	// Requests and Tokens are the totals of the window.
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
	// CorrectionRequests and CorrectionTokens came in after an earlier window
	// had been reported.
	CorrectionRequests int64 `json:"correctionRequests"`
	CorrectionTokens   int64 `json:"correctionTokens"`
	// Incomplete is true when a VM died before it had flushed everything.
	Incomplete bool `json:"incomplete"`
	// Epoch is the fencing number of the reporter's lease.
	Epoch uint64 `json:"epoch"`
}

// Billing accepts usage reports.
type Billing interface {
	// Report sends a report; a repeat with the same figures is harmless. It
	// fails with *fault.PlatformRefused when the window was reported before
	// with other figures, and with *fault.OrderFenced on an old epoch.
	Report(ctx context.Context, report UsageReport) error
}

// WeightVersion is one published version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// PublishedAt is the weight store's wall time.
	PublishedAt time.Time `json:"publishedAt"`
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Latest returns the newest version of every model.
	Latest(ctx context.Context) ([]WeightVersion, error)
}
