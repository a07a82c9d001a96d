// Package usage is the aggregate of usage windows: tallies per client account,
// their flush to the table service, and the reports made from them.
package usage

import (
	"maps"
	"sync"

	"dogwoodpond/internal/contract"
)

// Figures is what one client account used.
type Figures struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
}

// Add returns the sum.
func (f Figures) Add(g Figures) Figures {
	return Figures{Requests: f.Requests + g.Requests, Tokens: f.Tokens + g.Tokens}
}

// Tally counts usage of one VM incarnation in one window. It is safe for
// concurrent use.
type Tally struct {
	mu      sync.Mutex
	figures map[contract.Account]Figures
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{figures: make(map[contract.Account]Figures)} }

// Add counts usage of an account.
func (t *Tally) Add(account contract.Account, f Figures) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.figures[account] = t.figures[account].Add(f)
}

// Totals returns a copy of all figures.
func (t *Tally) Totals() map[contract.Account]Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.figures)
}
