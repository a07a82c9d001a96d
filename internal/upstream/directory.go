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
	// current is nil until the list is read for the first time.
	current atomic.Pointer[[]platformapi.Upstream]
}

// NewDirectory returns a directory whose list has not been read yet.
func NewDirectory() *Directory { return &Directory{} }

// Ready reports whether the list has been read at least once.
func (d *Directory) Ready() bool { return d.current.Load() != nil }

// Load returns the known upstreams. The caller must not change the slice.
func (d *Directory) Load() []platformapi.Upstream {
	list := d.current.Load()
	if list == nil {
		return nil
	}
	return *list
}

// Replace replaces the list of known upstreams.
func (d *Directory) Replace(list []platformapi.Upstream) { d.current.Store(&list) }
