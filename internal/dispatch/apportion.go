package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FlowDemand is the demand of one client account for one pool on one VM. The VMs
// exchange their demands in digests, which contain hashes of the names to stay small.
// Two names with the same hash share one demand, which makes their shares slightly
// unfair.
type FlowDemand struct {
	Pool    uint32
	Account uint32
	// Share is the account's share by contract.
	Share uint32
	// InFlight and Waiting count requests.
	InFlight uint32
	Queued   uint32
}

// slots returns the number of slots that the flow could use now.
func (d FlowDemand) slots() int { return int(d.InFlight) + int(d.Queued) }

// Member is one of the VMs among which the engines' slots are divided.
type Member struct {
	VM            string
	FailureDomain string
	// DemandKnown is false while the VM's demand is unknown; an average demand is
	// assumed then.
	DemandKnown bool
	Flows       []FlowDemand
	// Unreachable holds the hashed IDs of engines that do not answer the VM.
	Unreachable []uint32
}

// hash32 returns a short hash of a name.
func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// cellSize is the largest mean number of VMs in a cell.
const cellSize = 8

// CellCount returns the number of cells for the VMs of a failure domain. It is a
// power of two, so that it seldom changes as VMs start and stop.
func CellCount(vms int) int {
	cells := 1
	for vms > cells*cellSize {
		cells *= 2
	}
	return cells
}

// CellOf returns the cell of a VM. The VMs of a cell divide a part of their
// failure domain's engines among themselves by demand. A VM needs the demands of
// its own cell only, so the cost per VM does not grow with the number of VMs.
func CellOf(vm string, cells int) int { return int(hash32(vm) % uint32(cells)) }

// engineSlots is an engine with its number of slots.
type engineSlots struct {
	upstream string
	slots    int
}

// allocation maps upstream IDs to the number of slots that a VM may fill.
type allocation map[string]int

// apportion returns the allocation of the VM self on the engines of one failure
// domain and pool. Every VM with the same members and engines computes the same
// result: the slots, engine by engine, go to the cells in order, in proportion to
// their number of VMs, and within a cell to the VMs in the order of their names,
// by demand. A VM's slots are therefore on few engines, and a small change of
// demand moves few slots.
//
// VMs with different views of the members compute different boundaries between their
// slots. The number of slots claimed twice is then at most the sum of the differences
// between these boundaries.
func apportion(self string, pool uint32, members []Member, engines []engineSlots) allocation {
	engines = slices.SortedFunc(slices.Values(engines), func(a, b engineSlots) int { return cmp.Compare(a.upstream, b.upstream) })
	total := 0
	for _, e := range engines {
		total += e.slots
	}
	cells := CellCount(len(members))
	vmsPerCell := make([]float64, cells)
	var cellMembers []Member
	ownCell := CellOf(self, cells)
	for _, m := range members {
		cell := CellOf(m.VM, cells)
		vmsPerCell[cell]++
		if cell == ownCell {
			cellMembers = append(cellMembers, m)
		}
	}
	slices.SortFunc(cellMembers, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	start, size := slotRange(largestRemainder(vmsPerCell, total), ownCell)
	quotas := memberQuotas(pool, cellMembers, size)
	index := slices.IndexFunc(cellMembers, func(m Member) bool { return m.VM == self })
	if index < 0 {
		return allocation{}
	}
	offset, count := slotRange(quotas, index)
	return allocateRange(engines, start+offset, count)
}

// slotRange returns where the slots of an index start, and their number.
func slotRange(sizes []int, index int) (start, size int) {
	for _, s := range sizes[:index] {
		start += s
	}
	return start, sizes[index]
}

// allocateRange returns the engines that hold the given range of slots.
func allocateRange(engines []engineSlots, start, size int) allocation {
	a := make(allocation)
	pos := 0
	for _, e := range engines {
		from, to := max(start, pos), min(start+size, pos+e.slots)
		if to > from {
			a[e.upstream] = to - from
		}
		pos += e.slots
	}
	return a
}

// memberQuotas returns the number of slots of each member. Each member gets one
// slot first, as long as there are enough, and then up to what its accounts'
// demands entitle it to. Slots without demand are divided equally, so that a burst
// finds free slots before the next digest.
func memberQuotas(pool uint32, members []Member, total int) []int {
	quotas := make([]int, len(members))
	if len(members) == 0 {
		return quotas
	}
	remaining := total
	for i := range quotas {
		if remaining > 0 {
			quotas[i] = 1
			remaining--
		}
	}
	remaining = fillToEntitlement(quotas, entitlements(pool, members, total), remaining)
	for i := 0; remaining > 0; i = (i + 1) % len(quotas) {
		quotas[i]++
		remaining--
	}
	return quotas
}

// fillToEntitlement assigns slots one by one to the member with the largest
// deficit. It returns the number of slots that no member is entitled to.
func fillToEntitlement(quotas []int, entitled []float64, remaining int) int {
	for ; remaining > 0; remaining-- {
		best, maxDeficit := -1, 0.0
		for i := range quotas {
			if deficit := entitled[i] - float64(quotas[i]); deficit > maxDeficit {
				best, maxDeficit = i, deficit
			}
		}
		if best < 0 {
			return remaining
		}
		quotas[best]++
	}
	return remaining
}

const (
	// unknownDemand and unknownShare are assumed for a VM whose demand is unknown.
	unknownDemand = 4
	unknownShare  = 100
)

// accountDemand is the demand of an account on all members together.
type accountDemand struct {
	account uint64
	share   float64
	demand  float64
	// entitled is the number of slots that the account is entitled to.
	entitled float64
}

// entitlements returns the slots that each member's demands entitle it to. The
// slots are divided between the accounts first, by share and up to their demand,
// and each account's slots between the VMs in proportion to its demand there. An
// account therefore gets its share once, however many VMs it uses, and an account
// with little demand does not enlarge the quota of the VM that it uses.
func entitlements(pool uint32, members []Member, total int) []float64 {
	accounts := make(map[uint64]*accountDemand)
	for i, m := range members {
		for _, f := range flowsOf(pool, i, m) {
			a, ok := accounts[f.account]
			if !ok {
				a = &accountDemand{account: f.account, share: f.share}
				accounts[f.account] = a
			}
			a.demand += f.demand
		}
	}
	weightedMaxMin(slices.Collect(maps.Values(accounts)), float64(total))
	entitled := make([]float64, len(members))
	for i, m := range members {
		for _, f := range flowsOf(pool, i, m) {
			a := accounts[f.account]
			entitled[i] += a.entitled * f.demand / a.demand
		}
	}
	return entitled
}

// memberFlow is one account's demand on one member.
type memberFlow struct {
	account uint64
	share   float64
	demand  float64
}

// flowsOf returns a member's demands for a pool. A member whose demand is unknown
// counts as an account of its own.
func flowsOf(pool uint32, index int, m Member) []memberFlow {
	if !m.DemandKnown {
		return []memberFlow{{account: 1<<32 + uint64(index), share: unknownShare, demand: unknownDemand}}
	}
	var flows []memberFlow
	for _, f := range m.Flows {
		if f.Pool == pool && f.slots() > 0 {
			flows = append(flows, memberFlow{account: uint64(f.Account), share: float64(max(1, f.Share)), demand: float64(f.slots())})
		}
	}
	return flows
}

// weightedMaxMin divides slots between accounts by weighted max-min fairness: an
// account that demands less than its share gets its demand, and the others share
// the rest. The order of the sums is fixed: sums that differ in the last bit could
// be rounded to different boundaries on different VMs.
func weightedMaxMin(accounts []*accountDemand, slots float64) {
	slices.SortFunc(accounts, func(a, b *accountDemand) int {
		if c := cmp.Compare(a.demand/a.share, b.demand/b.share); c != 0 {
			return c
		}
		return cmp.Compare(a.account, b.account)
	})
	var shares float64
	for _, a := range accounts {
		shares += a.share
	}
	for _, a := range accounts {
		a.entitled = min(a.demand, slots*a.share/shares)
		slots -= a.entitled
		shares -= a.share
	}
}

// largestRemainder divides a total in proportion to the weights.
func largestRemainder(weights []float64, total int) []int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	sizes := make([]int, len(weights))
	if sum == 0 {
		return sizes
	}
	remainders := make([]float64, len(weights))
	remaining := total
	for i, w := range weights {
		exact := w / sum * float64(total)
		sizes[i] = int(exact)
		remainders[i] = exact - float64(sizes[i])
		remaining -= sizes[i]
	}
	for ; remaining > 0; remaining-- {
		best := 0
		for i := range remainders {
			if remainders[i] > remainders[best] {
				best = i
			}
		}
		sizes[best]++
		remainders[best] = -1
	}
	return sizes
}
