package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Ranker returns this VM's rank, from 0, among the VMs that may contend for a lease.
// The rank may be wrong or differ between VMs: ranks only save reads of the store and
// lost races, and correctness does not depend on them.
type Ranker func(lease string) int

const (
	// maxCandidates is how many VMs contend for each lease.
	maxCandidates = 3
	// maxContenders is how many VMs read the row of a lease: the candidates, and VMs on standby,
	// which wait standbyTerms terms longer than a candidate before they take the lease. The
	// others only look at their rank. If all VMs of a large fleet read the rows of all leases, the
	// reads would grow with both.
	maxContenders = 15
	standbyTerms  = 3
)

// Rank returns the rank of self, from 0, among the live VMs for a duty by rendezvous
// hashing. If live does not contain self, self is ranked as if it did.
func Rank(duty, self string, live []string) int {
	ownWeight := hashWeight(duty, self)
	rank := 0
	for _, vm := range live {
		if vm != self && hashWeight(duty, vm) > ownWeight {
			rank++
		}
	}
	return rank
}

// Outranks reports whether a VM ranks before another for a duty.
func Outranks(duty, vm, other string) bool { return hashWeight(duty, vm) > hashWeight(duty, other) }

// First returns the live VM with the rank 0 for a duty; ok is false when there is none.
func First(duty string, live []string) (first string, ok bool) {
	var maxWeight uint64
	for _, vm := range live {
		if w := hashWeight(duty, vm); !ok || w > maxWeight {
			first, maxWeight, ok = vm, w, true
		}
	}
	return first, ok
}

func hashWeight(duty, vm string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(duty)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}

// jitter returns a fraction in [0,1) that is fixed for a lease and an identity, so that
// contenders don't all read the store at the same moment.
func jitter(lease, identity string) float64 {
	return float64(hashWeight(lease, identity)) / float64(math.MaxUint64)
}
