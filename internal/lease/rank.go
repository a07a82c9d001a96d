package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Ranker returns this VM's rank among those that may contend for a lease, from
// 0. It may be wrong or differ between VMs: ranks only spare the store reads
// and lost races, they decide nothing.
type Ranker func(lease string) int

// candidates is how many VMs contend for each lease; the others step in only
// after silentTerms terms in which nothing happened.
const (
	candidates  = 3
	silentTerms = 3
)

// Rank returns the rank of self among the live VMs by rendezvous hash. A VM
// that the list does not name yet is ranked as if it did.
func Rank(lease, self string, live []string) int {
	own := weight(lease, self)
	rank := 0
	for _, vm := range live {
		if vm != self && weight(lease, vm) > own {
			rank++
		}
	}
	return rank
}

// First returns the VM that Rank ranks first; ok is false when there is none.
func First(lease string, live []string) (first string, ok bool) {
	var most uint64
	for _, vm := range live {
		if w := weight(lease, vm); !ok || w > most {
			first, most, ok = vm, w, true
		}
	}
	return first, ok
}

func weight(lease, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A digest takes any text.
	_, _ = d.WriteString(lease)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// spread returns a share in [0,1) that is fixed for a lease and an owner, so
// that contenders don't all read the store at the same moment.
func spread(lease, owner string) float64 {
	return float64(weight(lease, owner)) / float64(math.MaxUint64)
}
