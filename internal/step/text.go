package step

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/eventstream"
	"dogwoodpond/internal/kept"
)

const (
	// textTable holds the texts of items that are not finished; the partition is
	// the step's ID, the name the item's.
	textTable = "step_texts"
	// saveEvery is how often the texts of long items are saved, saveEvents how many
	// new events make a save worth while. A lost owner costs its items what they
	// made since, in place of their whole texts.
	saveEvery  = 800 * time.Millisecond
	saveEvents = 12
	// saveTimeout bounds one save, and saveBytes its size.
	saveTimeout = time.Second
	saveBytes   = 300 << 10
	// carryLife is how long texts of ended steps are kept for the next step of the
	// model, and carryBytes how much of them at most.
	carryLife  = 20 * time.Second
	carryBytes = 2 << 20
)

// partial is the text of an item as far as it was read. It is copied freely: what
// its slices hold never changes.
type partial struct {
	data     [][]byte
	last     int64
	any      bool
	versions []int64
	// whole texts need no further run.
	whole bool
	// saved is the last event that was saved, savedWhole true once the text was saved
	// as a whole one.
	saved      int64
	savedWhole bool
}

func (p *partial) add(e *eventstream.Event, version int64) {
	p.data = append(p.data, e.Data)
	p.last, p.any = e.ID, true
	if version > 0 && !slices.Contains(p.versions, version) {
		p.versions = append(slices.Clone(p.versions), version)
	}
}

// savedText is a text that outlasts its run.
type savedText struct {
	Text     string  `json:"text"`
	Last     int64   `json:"last"`
	Versions []int64 `json:"versions"`
	// Whole texts need no further run.
	Whole bool `json:"whole,omitempty"`
	// Failures counts the answers that said that the item failed. With the count a
	// successor does not begin anew: an item that fails each time would reach engines
	// again with every change of owner.
	Failures int `json:"failures,omitempty"`
	// ScoreFailures counts the answers that said that the call for the score failed. A
	// score itself is never saved but with its result: what is not listed is called for
	// again, so that no score outlives the text that it was given for.
	ScoreFailures int `json:"scoreFailures,omitempty"`
}

func (s savedText) partial() partial {
	if s.Last == 0 && s.Text == "" {
		return partial{}
	}
	return partial{data: [][]byte{[]byte(s.Text)}, last: s.Last, any: true, versions: s.Versions, whole: s.Whole, saved: s.Last, savedWhole: s.Whole}
}

func (p partial) save() savedText {
	return savedText{Text: joined(p.data), Last: p.last, Versions: p.versions, Whole: p.whole}
}

// mayGoOn reports whether a text of these versions may become a sample of a step.
func mayGoOn(versions []int64, spec Spec) bool {
	if spec.MinVersion == 0 {
		return true
	}
	return len(versions) > 0 && slices.Min(versions) >= spec.MinVersion
}

// saveTexts saves the texts that have grown by a number of events. It fails
// without harm: the items would be generated anew.
func (r *run) saveTexts(ctx context.Context, events int64) {
	rec := r.current()
	txn := kept.Txn{Expected: []kept.Expectation{{Key: stateKey(rec.ID), Version: rec.version}}}
	size := 0
	for i, text := range r.grown(events) {
		value, err := encode(text)
		if err != nil || len(value) > rowLimit || size+len(value) > saveBytes {
			// Texts that find no room are generated anew if the owner is lost.
			continue
		}
		size += len(value)
		txn.Puts = append(txn.Puts, kept.Put{Key: kept.Key{Table: textTable, Part: rec.ID, Name: r.items[i].ID}, Value: value})
	}
	if len(txn.Puts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if _, err := r.m.Store.Commit(ctx, txn); err == nil {
		r.m.Events.Emit(event.TextsSaved, event.Subject{Step: rec.ID, Account: rec.Account, Count: int64(len(txn.Puts))})
	}
}

// grown returns the texts that have grown by a number of events since they were
// saved, those that became whole, and those of items that failed meanwhile, and marks them as saved. One whose
// save fails is saved later, with more.
func (r *run) grown(events int64) map[int]savedText {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int]savedText)
	for i := range r.progress {
		p := &r.progress[i]
		longer := p.partial.any && p.partial.last >= p.partial.saved+events
		becameWhole := p.partial.whole && !p.partial.savedWhole
		failures := p.failures + p.tries.Failures
		if p.phase == done || !longer && !becameWhole && failures == p.savedFailures {
			continue
		}
		p.partial.saved, p.partial.savedWhole, p.savedFailures = p.partial.last, p.partial.whole, failures
		text := p.partial.save()
		text.Failures, text.ScoreFailures = p.failures, p.tries.Failures
		out[i] = text
	}
	return out
}

// readTexts reads the saved texts of a step. Rows that can't be read cost their items
// a run; unreadable is told of each.
func readTexts(ctx context.Context, store kept.Store, id string, unreadable func(kept.Row)) (map[string]savedText, error) {
	rows, err := kept.ReadAll(ctx, store, textTable, id)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]savedText, len(rows))
	for _, row := range rows {
		var text savedText
		if json.Unmarshal(row.Value, &text) != nil {
			unreadable(row)
			continue
		}
		texts[row.Name] = text
	}
	return texts, nil
}

// carried holds texts of groups that were not whole when their step ended. Their
// trainer may ask for them again in a later step, and waits for them there.
type carried struct {
	texts map[string]savedText
	at    map[string]time.Time
	size  int
}

func newCarried() *carried {
	return &carried{texts: make(map[string]savedText), at: make(map[string]time.Time)}
}

// put keeps the texts of a run, dropping those that are too old.
func (c *carried) put(account string, texts map[string]savedText, now time.Time) {
	for id, at := range c.at {
		if now.Sub(at) > carryLife {
			c.drop(id)
		}
	}
	for item, text := range texts {
		id := account + "/" + item
		if c.size+len(text.Text) > carryBytes {
			return
		}
		c.drop(id)
		c.texts[id], c.at[id] = text, now
		c.size += len(text.Text)
	}
}

func (c *carried) drop(id string) {
	c.size -= len(c.texts[id].Text)
	delete(c.texts, id)
	delete(c.at, id)
}

// of returns the texts kept for the items of a step.
func (c *carried) of(account string, items []Item) map[string]savedText {
	out := make(map[string]savedText)
	for _, item := range items {
		if text, ok := c.texts[account+"/"+item.ID]; ok {
			out[item.ID] = text
		}
	}
	return out
}

// unfinished returns the texts of the groups that are not whole.
func (r *run) unfinished() map[string]savedText {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make(map[string]bool)
	for i := range r.progress {
		if r.progress[i].phase != done {
			open[r.items[i].Group] = true
		}
	}
	whole := make(map[string]Result)
	for _, list := range [][]Result{r.listed, r.queue} {
		for _, result := range list {
			whole[result.Item] = result
		}
	}
	out := make(map[string]savedText)
	for i, item := range r.items {
		if !open[item.Group] {
			continue
		}
		if result, ok := whole[item.ID]; ok && result.Outcome == Completed && result.Object == "" {
			out[item.ID] = savedText{Text: result.Text, Versions: result.Versions, Whole: true}
		} else if text := r.progress[i].partial; text.any && r.progress[i].phase != done {
			out[item.ID] = text.save()
		}
	}
	return out
}
