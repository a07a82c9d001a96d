// Package upstream holds what a VM knows about the upstreams: the platform's list,
// which may be out of date, the health as seen by the VM's own attempts, and the load
// reports of engines.
package upstream

import (
	"sync/atomic"

	"dogwoodpond/internal/platformapi"
)

// Directory holds the list of known upstreams. Readers take no lock.
type Directory struct {
	current atomic.Pointer[[]platformapi.Upstream]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&[]platformapi.Upstream{})
	return d
}

// Load returns the known upstreams. The caller must not change the slice.
func (d *Directory) Load() []platformapi.Upstream { return *d.current.Load() }

// Replace replaces the list of known upstreams.
func (d *Directory) Replace(list []platformapi.Upstream) { d.current.Store(&list) }
