package node

import (
	"sync/atomic"

	"github.com/google/uuid"
)

// Life is one life of the process: its name, whether it is leaving, and how many
// requests are open.
type Life struct {
	id      string
	leaving atomic.Bool
	open    atomic.Int64
}

// NewLife returns a new life with a name that was never used.
func NewLife() *Life { return &Life{id: uuid.NewString()[:13]} }

// ID names the life.
func (l *Life) ID() string { return l.id }

// Leaving reports whether the process was told to stop.
func (l *Life) Leaving() bool { return l.leaving.Load() }

// Leave notes that the process was told to stop.
func (l *Life) Leave() { l.leaving.Store(true) }

// Begin and End count open requests.
func (l *Life) Begin() { l.open.Add(1) }

// End ends a request that Begin counted.
func (l *Life) End() { l.open.Add(-1) }

// Open returns the number of open requests.
func (l *Life) Open() int64 { return l.open.Load() }
