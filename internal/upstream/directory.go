// Package upstream keeps what a VM knows of the upstreams: the platform's
// lagging list, corrected by what the VM sees itself.
package upstream

import (
	"sync/atomic"

	"dogwoodpond/internal/platformapi"
)

// Directory gives readers the known upstreams without a lock.
type Directory struct {
	current atomic.Pointer[[]platformapi.Upstream]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&[]platformapi.Upstream{})
	return d
}

// Load returns the known upstreams; the slice must not be changed.
func (d *Directory) Load() []platformapi.Upstream { return *d.current.Load() }

// Replace puts a new list in force.
func (d *Directory) Replace(list []platformapi.Upstream) { d.current.Store(&list) }
