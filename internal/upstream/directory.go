// Package upstream keeps what a VM knows of the upstreams: the platform's
// lagging list, corrected by what the VM sees itself.
package upstream

import (
	"sync/atomic"

	"dogwoodpond/internal/platform"
)

// Directory gives readers the known upstreams without a lock.
type Directory struct {
	current atomic.Pointer[[]platform.Upstream]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&[]platform.Upstream{})
	return d
}

// Load returns the known upstreams; the slice must not be changed.
func (d *Directory) Load() []platform.Upstream { return *d.current.Load() }

// Replace puts a new list in force.
func (d *Directory) Replace(list []platform.Upstream) { d.current.Store(&list) }
