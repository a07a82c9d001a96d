// Package platformapi defines the ports to the services of the users' platform, and
// implements them by a client of its HTTP/JSON interfaces. The wire formats of the
// real platform are not known yet. A change of them affects only http.go, lists.go
// and the JSON tags in this package.
package platformapi

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

// Precondition requires that a row has the given version; 0 requires that it is
// absent.
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

// Txn is one transaction. If all preconditions hold, all writes take effect;
// otherwise none does.
type Txn struct {
	// Nonce is unique to the transaction. It is stored in every row that the
	// transaction writes.
	Nonce         string         `json:"nonce"`
	Preconditions []Precondition `json:"preconditions"`
	Writes        []Write        `json:"writes"`
}

// Tables is the transactional table service.
//
// Every method fails with *fault.StoreUnavailable if it gets no answer; its
// EffectUnknown is true if a Commit may have taken effect. Commit fails with
// *fault.PreconditionFailed if a precondition does not hold, and then writes
// nothing. Reads are linearizable. Implementations are safe for concurrent use.
type Tables interface {
	// Get returns a row, with version 0 if it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the first rows, at most limit and in key order, whose keys
	// start with prefix and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store for large bodies. An object is written once and
// never changed.
type Objects interface {
	// Put stores body under key. Repeating it with the same key is harmless.
	Put(ctx context.Context, key string, body []byte) error
	// Fetch returns an object. It fails with *fault.ObjectUnknown if there is
	// none under key.
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failureDomain"`
	Region        string  `json:"region"`
	CallerAddress string  `json:"callerAddress"`
	PeerAddress   string  `json:"peerAddress"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. The list may be out of
// date.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// UpstreamKind distinguishes model engines from plain services.
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

// Upstream is one entry of the platform's list of upstreams. The list may be out
// of date.
type Upstream struct {
	ID            string        `json:"id"`
	Kind          UpstreamKind  `json:"kind"`
	FailureDomain string        `json:"failureDomain"`
	Address       string        `json:"address"`
	State         UpstreamState `json:"state"`
	// Reclaimable upstreams are cheaper, but the platform may stop them at short
	// notice.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true if the upstream refuses orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checksFencing"`
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// Service is the name of a plain service.
	Service string `json:"service,omitempty"`
	// Model, Adapter and Role describe what an engine was last ordered to serve.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Adaptable engines may be ordered to serve another model or adapter.
	Adaptable bool `json:"adaptable,omitempty"`
	// CentsPerHour is the price of the upstream in cents per hour.
	CentsPerHour int64 `json:"centsPerHour"`
	// Account is the client account for which the upstream was ordered.
	Account string `json:"account,omitempty"`
	// OrderID is the ID of the order that started the upstream.
	OrderID string `json:"orderId,omitempty"`
}

// OrderKind is the action that an order asks for.
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
	// Epoch is the fencing token: the epoch of the sender's lease.
	Epoch         uint64    `json:"epoch"`
	FailureDomain string    `json:"failureDomain"`
	Kind          OrderKind `json:"kind"`
	// Upstream is the ID of the upstream to stop.
	Upstream string `json:"upstream,omitempty"`
	// Account, Model, Adapter and Reclaimable describe the engine to start.
	Account     string `json:"account,omitempty"`
	Model       string `json:"model,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	// CentsPerHour is the highest price at which an engine may be started.
	CentsPerHour int64 `json:"centsPerHour,omitempty"`
}

// Offer describes engines that the platform could start now.
type Offer struct {
	FailureDomain string `json:"failureDomain"`
	Model         string `json:"model"`
	Reclaimable   bool   `json:"reclaimable"`
	CentsPerHour  int64  `json:"centsPerHour"`
	// Available is the number of engines that could be started; it may be out
	// of date.
	Available int `json:"available"`
}

// Upstreams lists upstreams, and starts and stops them by orders.
type Upstreams interface {
	// Upstreams returns all upstreams, of every failure domain.
	Upstreams(ctx context.Context) ([]Upstream, error)
	// Order sends an order. An order that is sent again with the same ID has no
	// further effect. Order fails with *fault.OrderFenced if the platform has
	// seen a newer epoch for the failure domain.
	Order(ctx context.Context, order Order) error
	// Offers returns the engines that could be started, in every failure domain.
	Offers(ctx context.Context) ([]Offer, error)
}

// UsageReport is the usage of one client account in one usage window.
type UsageReport struct {
	// Window is the start of the window in seconds since the Unix epoch.
	Window  int64  `json:"window"`
	Account string `json:"account"`
	// Requests and Tokens are the totals of the window.
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
	// CorrectionRequests and CorrectionTokens are usage of earlier windows that
	// was recorded only after those had been reported.
	CorrectionRequests int64 `json:"correctionRequests"`
	CorrectionTokens   int64 `json:"correctionTokens"`
	// Incomplete is true if a VM died before it had flushed all of its totals.
	Incomplete bool `json:"incomplete"`
	// Epoch is the fencing token: the epoch of the reporter's lease.
	Epoch uint64 `json:"epoch"`
}

// Billing accepts usage reports.
type Billing interface {
	// Report sends a report. A report that is sent again with the same counts
	// has no further effect. Report fails with *fault.PlatformRefused if the
	// window was reported before with other counts, and with *fault.OrderFenced
	// if the platform has seen a newer epoch.
	Report(ctx context.Context, report UsageReport) error
}

// WeightVersion is one published version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// PublishedAt is the wall time of the weight store at publication.
	PublishedAt time.Time `json:"publishedAt"`
}

// Weights lists the weight versions in the weight store, which is rate-limited.
type Weights interface {
	// Latest returns the newest version of every model.
	Latest(ctx context.Context) ([]WeightVersion, error)
}
