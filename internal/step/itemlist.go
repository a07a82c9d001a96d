package step

import (
	"slices"
)

// maxBatchResults is the maximum number of results that are committed together, and so of the
// results in one row.
const maxBatchResults = 60

// phase is the state of an item in a run.
type phase int

const (
	// phasePending items are pending: they need an attempt at an engine.
	phasePending phase = iota
	// phaseRunning items have an attempt in progress.
	phaseRunning
	// phaseUnscored items have a complete text that still needs a score call.
	phaseUnscored
	// phaseScoring items have a score call in progress.
	phaseScoring
	// phaseHeld items are not sent, because as many engines as are allowed may have ended under
	// them.
	phaseHeld
	// phaseDone items have a result, committed or queued for commit.
	phaseDone
)

// String returns the name of the phase in events.
func (p phase) String() string {
	return [...]string{"pending", "running", "unscored", "scoring", "held back", "done"}[p]
}

// itemList holds the phases of a run's items and the list of their results. An item gets at most
// one result, in whatever order attempts, score calls and the results of a previous owner arrive:
// only a result makes an item done, and a done item stays done. itemList is not safe for
// concurrent use.
type itemList struct {
	// index holds the index of each item by its ID.
	index  map[string]int
	phases []phase
	// queued holds the results that are not committed, queuedBytes the size of their texts, and
	// committed the committed results in the order of their positions.
	queued      []Result
	queuedBytes int
	committed   []Result
	// positions holds the position of each committed item by its ID.
	positions map[string]int
}

// newItemList returns the list of a step's items, all of which are pending.
func newItemList(items []Item) *itemList {
	l := &itemList{index: make(map[string]int, len(items)), phases: make([]phase, len(items)), positions: make(map[string]int, len(items))}
	for i, item := range items {
		l.index[item.ID] = i
	}
	return l
}

// phase returns the phase of an item.
func (l *itemList) phase(i int) phase { return l.phases[i] }

// has reports whether an item is in a phase.
func (l *itemList) has(p phase) bool { return slices.Contains(l.phases, p) }

// move moves an item without a result to another phase. It returns false when the item is in
// none of the phases from.
func (l *itemList) move(i int, to phase, from ...phase) bool {
	if to == phaseDone || l.phases[i] == phaseDone || !slices.Contains(from, l.phases[i]) {
		return false
	}
	l.phases[i] = to
	return true
}

// queue makes an item done by a result, which is queued for commit. It returns false when the
// item has a result already, which it keeps.
func (l *itemList) queue(i int, result Result) bool {
	if l.phases[i] == phaseDone {
		return false
	}
	l.phases[i] = phaseDone
	l.queued = append(l.queued, result)
	l.queuedBytes += len(result.Text)
	return true
}

// adopt replaces the committed results by those of the previous owner and makes their items done.
// Queued results of these items are dropped. No result may be in a commit. adopt returns the
// phases in which the items of the results were.
func (l *itemList) adopt(results []Result) map[int]phase {
	adopted := make(map[int]phase, len(results))
	l.committed = nil
	clear(l.positions)
	for _, result := range results {
		l.appendCommitted(result)
		if i, ok := l.index[result.Item]; ok {
			if _, repeated := adopted[i]; !repeated {
				adopted[i] = l.phases[i]
			}
			l.phases[i] = phaseDone
		}
	}
	l.queued = slices.DeleteFunc(l.queued, func(result Result) bool {
		_, committed := l.positions[result.Item]
		return committed
	})
	l.queuedBytes = textBytes(l.queued)
	return adopted
}

// batch returns the next results to commit and the position of the first. They stay queued until
// confirm is called.
func (l *itemList) batch() (results []Result, position int) {
	n, size := 0, 0
	for n < len(l.queued) && n < maxBatchResults && (n == 0 || size < commitBatchBytes) {
		size += len(l.queued[n].Text)
		n++
	}
	return slices.Clone(l.queued[:n]), len(l.committed)
}

// confirm moves a batch from the queued to the committed results.
func (l *itemList) confirm(batch []Result) {
	l.queued = l.queued[len(batch):]
	l.queuedBytes -= textBytes(batch)
	for _, result := range batch {
		l.appendCommitted(result)
	}
}

func (l *itemList) appendCommitted(result Result) {
	if _, ok := l.positions[result.Item]; !ok {
		l.positions[result.Item] = len(l.committed)
	}
	l.committed = append(l.committed, result)
}

// repeated returns the positions of the committed results, from a position on, whose items have
// an earlier result too.
func (l *itemList) repeated(from int) []int {
	var positions []int
	for position := from; position < len(l.committed); position++ {
		if l.positions[l.committed[position].Item] != position {
			positions = append(positions, position)
		}
	}
	return positions
}

// complete reports whether each item has a committed result.
func (l *itemList) complete() bool { return len(l.positions) == len(l.phases) }

// textBytes returns the total size of the texts of results.
func textBytes(results []Result) int {
	size := 0
	for _, result := range results {
		size += len(result.Text)
	}
	return size
}
