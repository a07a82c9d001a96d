package node

import (
	"github.com/google/uuid"

	"dogwoodpond/internal/drain"
)

// Incarnation is one run of the process between its start and its end. It holds the ID of
// the run, and the gate of the callers' requests.
type Incarnation struct {
	id string
	*drain.Gate
}

// NewIncarnation returns an incarnation with a new random ID.
func NewIncarnation() *Incarnation {
	return &Incarnation{id: uuid.NewString()[:13], Gate: drain.NewGate()}
}

// ID returns the incarnation's ID, which no other incarnation has.
func (i *Incarnation) ID() string { return i.id }
