package step

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// listModel is an itemList under test, with what a property needs of the calls before.
type listModel struct {
	list  *itemList
	items []Item
	// texts are the texts of results.
	texts []string
	// first holds the first result of each item that was queued or adopted.
	first map[string]Result
	// committed is a copy of the committed results after the last call.
	committed []Result
	// done holds the items that were done after the last call.
	done []bool
	// inCommit is the batch that is being committed; nil when there is none.
	inCommit []Result
	// batches is false while results are only queued, as before a step is accepted.
	batches bool
	results int
	// violations holds what broke each property first.
	violations map[string]string
	// calls counts the calls that changed the list by their names.
	calls map[string]int
}

// The properties of an itemList, whatever the order of its calls.
const (
	oneResult      = "an item has at most one result, its first"
	stablePosition = "positions are dense, in order, and never change"
	queuedSize     = "queuedBytes is the size of the queued texts"
	doneFinal      = "an item is done once it has a result, and stays done"
	batchLimits    = "a batch is as large as its limits allow"
	reportedPhase  = "adopt returns the phases before it"
)

var listProperties = []string{oneResult, stablePosition, queuedSize, doneFinal, batchLimits, reportedPhase}

func newListModel(n int, texts []string) *listModel {
	list := items(n)
	return &listModel{
		list: newItemList(list), items: list, texts: texts, first: map[string]Result{}, done: make([]bool, n),
		violations: map[string]string{}, calls: map[string]int{},
	}
}

// modelTexts are the texts of results. A batch reaches commitBatchBytes with three of the longest.
var modelTexts = []string{"", "text", strings.Repeat("x", 3<<10), strings.Repeat("y", 80<<10)}

// newResult returns a result of an item that differs from all others.
func (m *listModel) newResult(i int, choice uint32) Result {
	m.results++
	return Result{Item: m.items[i].ID, Outcome: Completed, Text: m.texts[int(choice)%len(m.texts)], Score: strconv.Itoa(m.results)}
}

// violate records that a property does not hold.
func (m *listModel) violate(property, format string, args ...any) {
	if m.violations[property] == "" {
		m.violations[property] = fmt.Sprintf(format, args...)
	}
}

// apply makes the call that a random number encodes, and checks the properties after it.
func (m *listModel) apply(call uint32) {
	i, choice := int(call>>8)%len(m.items), call>>20
	switch kind := call % 32; {
	case kind < 10:
		m.move(i, choice)
	case kind < 26:
		m.queue(i, choice)
	case kind < 29:
		m.batch()
	case kind < 31:
		m.endCommit(choice)
	default:
		m.adopt(choice)
	}
	m.check()
}

func (m *listModel) move(i int, choice uint32) {
	from, to := phase(choice%5), phase(choice/5%5)
	before := m.list.phase(i)
	moved := m.list.move(i, to, from)
	if moved && (before == phaseDone || to == phaseDone || before != from) {
		m.violate(doneFinal, "item %d moved from %s to %s with %s expected", i, before, to, from)
	}
	if moved {
		m.calls["move"]++
	}
}

func (m *listModel) queue(i int, choice uint32) {
	result := m.newResult(i, choice)
	_, has := m.first[result.Item]
	if queued := m.list.queue(i, result); queued == has {
		m.violate(oneResult, "queue of a result of item %d returned %v; it had a result: %v", i, queued, has)
	}
	if !has {
		m.first[result.Item] = result
	}
	m.calls[map[bool]string{true: "repeated queue", false: "queue"}[has]]++
}

func (m *listModel) batch() {
	if m.inCommit != nil || !m.batches {
		return
	}
	results, position := m.list.batch()
	if position != len(m.list.committed) {
		m.violate(stablePosition, "a batch starts at %d after %d committed results", position, len(m.list.committed))
	}
	n := len(results)
	if n > len(m.list.queued) || !slices.EqualFunc(results, m.list.queued[:n], sameResult) {
		m.violate(batchLimits, "a batch is not the first of the queued results")
		return
	}
	full := n == len(m.list.queued) || n == 60 || textBytes(results) >= commitBatchBytes
	if n > 60 || n > 0 && textBytes(results[:n-1]) >= commitBatchBytes || !full {
		m.violate(batchLimits, "a batch of %d results of %d with %d bytes", n, len(m.list.queued), textBytes(results))
	}
	if n > 0 {
		m.inCommit = results
		m.calls["batch"]++
	}
}

// endCommit confirms the batch that is being committed. In one of four cases the commit fails
// instead, and its results stay queued.
func (m *listModel) endCommit(choice uint32) {
	if m.inCommit != nil && choice%4 != 0 {
		m.list.confirm(m.inCommit)
		m.committed = append(m.committed, m.inCommit...)
		m.calls["confirm"]++
	}
	m.inCommit = nil
}

// adopt adopts the committed results and up to three more. The new ones may be of items that are
// queued here, and then replace these results.
func (m *listModel) adopt(choice uint32) {
	if m.inCommit != nil {
		return
	}
	results := slices.Clone(m.committed)
	for n := range choice % 4 {
		i := int(choice>>2+n*7) % len(m.items)
		result := m.newResult(i, choice>>n)
		if slices.ContainsFunc(results, func(r Result) bool { return r.Item == result.Item }) {
			continue
		}
		results = append(results, result)
		m.first[result.Item] = result
	}
	before := slices.Clone(m.list.phases)
	adopted := m.list.adopt(slices.Clone(results))
	if len(adopted) != len(results) {
		m.violate(reportedPhase, "%d phases for %d adopted results", len(adopted), len(results))
	}
	for i, p := range adopted {
		if before[i] != p {
			m.violate(reportedPhase, "item %d was %s, adopt says %s", i, before[i], p)
		}
	}
	m.calls["adopt"] += len(results) - len(m.committed)
	m.committed = results
}

// check checks the properties that hold between any two calls.
func (m *listModel) check() {
	l := m.list
	if !slices.EqualFunc(l.committed, m.committed, sameResult) {
		m.violate(stablePosition, "%d results are committed; want the %d that were confirmed or adopted, in order", len(l.committed), len(m.committed))
	}
	seen := make([]bool, len(m.items))
	for n, result := range slices.Concat(l.committed, l.queued) {
		i := l.index[result.Item]
		if seen[i] || !sameResult(result, m.first[result.Item]) {
			m.violate(oneResult, "result %d of item %s is its second or not its first", n, result.Item)
		}
		seen[i] = true
		if n < len(l.committed) && l.positions[result.Item] != n {
			m.violate(stablePosition, "item %s stands at %d, positions has %d", result.Item, n, l.positions[result.Item])
		}
	}
	if len(l.positions) != len(l.committed) || len(l.repeated(0)) > 0 || l.complete() != (len(l.committed) == len(m.items)) {
		m.violate(stablePosition, "%d positions and %d repeated ones of %d committed results", len(l.positions), len(l.repeated(0)), len(l.committed))
	}
	if l.queuedBytes != textBytes(l.queued) {
		m.violate(queuedSize, "queuedBytes is %d, want %d", l.queuedBytes, textBytes(l.queued))
	}
	for i := range m.items {
		isDone := l.phase(i) == phaseDone
		if isDone != seen[i] || m.done[i] && !isDone {
			m.violate(doneFinal, "item %d is %s; it has a result: %v, was done: %v", i, l.phase(i), seen[i], m.done[i])
		}
		m.done[i] = isDone
	}
}

func sameResult(a, b Result) bool { return a.Item == b.Item && a.Score == b.Score && a.Text == b.Text }

// Guards against an item with two results, whatever the order of attempts, score calls, commits
// and adoptions.
func TestItemListProperties(t *testing.T) {
	calls := map[string]int{}
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 20, Rng: gopter.DefaultTestParametersWithSeed(42).Rng, Workers: 1})
	for _, property := range listProperties {
		properties.Property(property, prop.ForAll(
			func(n, texts, firstBatch, callCount int, seed int64) string {
				m := newListModel(n, modelTexts[:texts])
				random := rand.New(rand.NewPCG(uint64(seed), 0))
				for k := range callCount {
					m.batches = k >= firstBatch
					m.apply(random.Uint32())
				}
				for name, count := range m.calls {
					calls[name] += count
				}
				return m.violations[property]
			},
			gen.IntRange(1, 150), gen.IntRange(1, len(modelTexts)), gen.IntRange(0, 300), gen.IntRange(1, 400), gen.Int64(),
		))
	}
	properties.TestingRun(t)
	for _, name := range []string{"move", "queue", "repeated queue", "batch", "confirm", "adopt"} {
		if calls[name] < 200 {
			t.Errorf("%d calls of %s changed a list, too few to test the properties", calls[name], name)
		}
	}
}

// An item that stands twice in the adopted results keeps both positions, since readers may have
// seen them. It must be reported and must not get a third.
func TestItemListReportsRepeatedResults(t *testing.T) {
	l := newItemList(items(2))
	l.queue(1, Result{Item: "i1"})
	l.adopt([]Result{{Item: "i0"}, {Item: "i1"}, {Item: "i0"}})
	if positions := l.repeated(0); !slices.Equal(positions, []int{2}) {
		t.Errorf("the repeated positions are %v, want 2", positions)
	}
	if l.queue(0, Result{Item: "i0"}) || len(l.queued) > 0 || !l.complete() {
		t.Errorf("%d results are queued after both items were adopted", len(l.queued))
	}
}

// Guards against positions of a list that was replaced.
func TestItemListTakesPositionsOfLastAdoptedResults(t *testing.T) {
	l := newItemList(items(2))
	l.adopt([]Result{{Item: "i0"}, {Item: "i1"}})
	l.adopt([]Result{{Item: "i1"}, {Item: "i0"}})
	if l.positions["i1"] != 0 || l.positions["i0"] != 1 {
		t.Errorf("the positions are %v", l.positions)
	}
}
