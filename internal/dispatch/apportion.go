package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FlowDemand is what one client account asks of one pool on one VM. Names
// travel as hashes to keep a digest small; two names with the same hash share
// one demand, which costs a little fairness.
type FlowDemand struct {
	Pool    uint32
	Account uint32
	// Share is the account's share by contract.
	Share uint32
	// InFlight and Waiting count requests.
	InFlight uint32
	Waiting  uint32
}

// slots returns how many slots the flow could use now.
func (d FlowDemand) slots() int { return int(d.InFlight) + int(d.Waiting) }

// Member is a VM that takes part in sharing the engines' slots.
type Member struct {
	VM            string
	FailureDomain string
	// Heard is false while nothing is known of the VM's demand; it is then
	// taken for an average one.
	Heard bool
	Flows []FlowDemand
	// Unreachable are the short names of engines that do not answer the VM.
	Unreachable []uint32
}

// hash32 shortens a name.
func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// cellSize is the largest mean number of VMs in a cell.
const cellSize = 8

// CellCount returns into how many cells the VMs of a failure domain divide. It
// is a power of two, so that it seldom changes as VMs come and go.
func CellCount(vms int) int {
	cells := 1
	for vms > cells*cellSize {
		cells *= 2
	}
	return cells
}

// CellOf returns the cell of a VM. The VMs of a cell share a part of their
// failure domain's engines by their demands; what a VM must hear from others
// so stays the same however many VMs there are.
func CellOf(vm string, cells int) int { return int(hash32(vm) % uint32(cells)) }

// place is an engine with its slots.
type place struct {
	upstream string
	slots    int
}

// parts tells how many slots of each upstream a VM may fill.
type parts map[string]int

// apportion returns the parts of the VM self of the engines of one failure
// domain and pool. Every VM with the same members and places computes the
// same division: the slots, one engine after the other, go to the cells in
// order by their number of VMs, and within a cell to the VMs in the order of
// their names by their demands. A VM's part so lies on few engines, and a
// small change of demand moves few slots.
//
// Members with another knowledge compute other borders; slots claimed twice
// are then at most the sum of the differences.
func apportion(self string, pool uint32, members []Member, places []place) parts {
	places = slices.SortedFunc(slices.Values(places), func(a, b place) int { return cmp.Compare(a.upstream, b.upstream) })
	total := 0
	for _, p := range places {
		total += p.slots
	}
	cells := CellCount(len(members))
	weights := make([]float64, cells)
	var mates []Member
	own := CellOf(self, cells)
	for _, m := range members {
		cell := CellOf(m.VM, cells)
		weights[cell]++
		if cell == own {
			mates = append(mates, m)
		}
	}
	slices.SortFunc(mates, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	start, size := stretch(largestRemainder(weights, total), own)
	quotas := divide(pool, mates, size)
	index := slices.IndexFunc(mates, func(m Member) bool { return m.VM == self })
	if index < 0 {
		return parts{}
	}
	offset, mine := stretch(quotas, index)
	return layOut(places, start+offset, mine)
}

// stretch returns where the part of an index starts, and its size.
func stretch(sizes []int, index int) (start, size int) {
	for _, s := range sizes[:index] {
		start += s
	}
	return start, sizes[index]
}

// layOut finds the engines of a stretch of slots.
func layOut(places []place, start, size int) parts {
	p := make(parts)
	at := 0
	for _, candidate := range places {
		from, to := max(start, at), min(start+size, at+candidate.slots)
		if to > from {
			p[candidate.upstream] = to - from
		}
		at += candidate.slots
	}
	return p
}

// divide gives each member its number of slots: at first one each as far as
// they go round, then up to what its accounts' demands there entitle it to, and
// what nobody asks for equally, so that a burst finds room before the next
// digest.
func divide(pool uint32, members []Member, total int) []int {
	quotas := make([]int, len(members))
	if len(members) == 0 {
		return quotas
	}
	left := total
	for i := range quotas {
		if left > 0 {
			quotas[i] = 1
			left--
		}
	}
	left = fill(quotas, entitlements(pool, members, total), left)
	for i := 0; left > 0; i = (i + 1) % len(quotas) {
		quotas[i]++
		left--
	}
	return quotas
}

// fill hands out slots one by one to the member that lacks most, and returns
// how many nobody is entitled to.
func fill(quotas []int, entitled []float64, left int) int {
	for ; left > 0; left-- {
		best, most := -1, 0.0
		for i := range quotas {
			if lack := entitled[i] - float64(quotas[i]); lack > most {
				best, most = i, lack
			}
		}
		if best < 0 {
			return left
		}
		quotas[best]++
	}
	return left
}

const (
	// unknownWant and unknownShare stand for a VM that has not been heard.
	unknownWant  = 4
	unknownShare = 100
)

// accountDemand is what an account asks for on all members together.
type accountDemand struct {
	account uint64
	share   float64
	wants   float64
	// part is the number of slots that it is entitled to.
	part float64
}

// entitlements returns the slots that each member's demands entitle it to. The
// slots are divided between the accounts first, by their shares and no more
// than they ask for, and each account's part between the VMs where it asks. An
// account so gets its share once, however many VMs it uses, and one that asks
// for little does not swell the part of the VM that it uses.
func entitlements(pool uint32, members []Member, total int) []float64 {
	accounts := make(map[uint64]*accountDemand)
	for i, m := range members {
		for _, f := range flowsOf(pool, i, m) {
			a, ok := accounts[f.account]
			if !ok {
				a = &accountDemand{account: f.account, share: f.share}
				accounts[f.account] = a
			}
			a.wants += f.wants
		}
	}
	shareOut(slices.Collect(maps.Values(accounts)), float64(total))
	entitled := make([]float64, len(members))
	for i, m := range members {
		for _, f := range flowsOf(pool, i, m) {
			a := accounts[f.account]
			entitled[i] += a.part * f.wants / a.wants
		}
	}
	return entitled
}

// memberFlow is one account's demand on one member.
type memberFlow struct {
	account uint64
	share   float64
	wants   float64
}

// flowsOf returns a member's demands of a pool. A member that has not been heard
// stands for an account of its own.
func flowsOf(pool uint32, index int, m Member) []memberFlow {
	if !m.Heard {
		return []memberFlow{{account: 1<<32 + uint64(index), share: unknownShare, wants: unknownWant}}
	}
	var flows []memberFlow
	for _, f := range m.Flows {
		if f.Pool == pool && f.slots() > 0 {
			flows = append(flows, memberFlow{account: uint64(f.Account), share: float64(max(1, f.Share)), wants: float64(f.slots())})
		}
	}
	return flows
}

// shareOut divides slots between accounts by weighted max-min: an account that
// asks for less than its share gets what it asks for, and the others share the
// rest. The order of the sums is fixed, for VMs whose sums differ in the last
// bit could round to other borders.
func shareOut(accounts []*accountDemand, slots float64) {
	slices.SortFunc(accounts, func(a, b *accountDemand) int {
		if c := cmp.Compare(a.wants/a.share, b.wants/b.share); c != 0 {
			return c
		}
		return cmp.Compare(a.account, b.account)
	})
	var shares float64
	for _, a := range accounts {
		shares += a.share
	}
	for _, a := range accounts {
		a.part = min(a.wants, slots*a.share/shares)
		slots -= a.part
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
	left := total
	for i, w := range weights {
		exact := w / sum * float64(total)
		sizes[i] = int(exact)
		remainders[i] = exact - float64(sizes[i])
		left -= sizes[i]
	}
	for ; left > 0; left-- {
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
