package node

import (
	"sync/atomic"

	"github.com/google/uuid"
)

// Incarnation is one run of the process between its start and its end. It holds the ID of
// the run, whether the process is stopping, and the number of open requests.
type Incarnation struct {
	id           string
	leaving      atomic.Bool
	openRequests atomic.Int64
}

// NewIncarnation returns an incarnation with a new random ID.
func NewIncarnation() *Incarnation { return &Incarnation{id: uuid.NewString()[:13]} }

// ID returns the incarnation's ID, which no other incarnation has.
func (i *Incarnation) ID() string { return i.id }

// Leaving reports whether the process is stopping.
func (i *Incarnation) Leaving() bool { return i.leaving.Load() }

// Leave records that the process is stopping.
func (i *Incarnation) Leave() { i.leaving.Store(true) }

// BeginRequest counts a request as open until EndRequest is called for it.
func (i *Incarnation) BeginRequest() { i.openRequests.Add(1) }

// EndRequest ends a request that BeginRequest counted.
func (i *Incarnation) EndRequest() { i.openRequests.Add(-1) }

// OpenRequests returns the number of open requests.
func (i *Incarnation) OpenRequests() int64 { return i.openRequests.Load() }
