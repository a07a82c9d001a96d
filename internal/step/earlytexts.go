package step

import (
	"context"
	"encoding/json"

	"dogwoodpond/internal/rowstore"
)

// handOverTexts saves the texts of an early run that was stopped because another copy of its step was
// accepted, for the step's next owner. A row that has a longer text stays: the accepted run saves its
// texts too. A failure is ignored, like one of saveTexts.
func (m *Manager) handOverTexts(r *run) {
	texts := r.generatedTexts()
	accepted, ok := m.lookUp(r.rec.ID)
	if !ok || accepted.Ended || accepted.Account != r.rec.Account || len(texts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, 2*saveTimeout)
	defer cancel()
	rows, err := rowstore.ReadAll(ctx, m.Store, textTable, accepted.ID)
	if err != nil {
		return
	}
	saved := make(map[string]savedRow, len(rows))
	for _, row := range rows {
		known := savedRow{version: row.Version}
		// A row that can't be decoded is replaced.
		_ = json.Unmarshal(row.Value, &known.text)
		saved[row.Name] = known
	}
	batch := newTextBatch(m, accepted)
	for item, text := range texts {
		before := saved[item]
		if !text.extends(before.text) {
			continue
		}
		text.Failures, text.ScoreFailures = max(text.Failures, before.text.Failures), max(text.ScoreFailures, before.text.ScoreFailures)
		value, err := encodeRow(text)
		if err != nil || len(value) > rowLimit {
			continue
		}
		batch.put(ctx, item, value, rowstore.Expectation{Key: textKey(accepted.ID, item), Version: before.version})
	}
	batch.commit(ctx)
}

// savedRow is a row of a saved text; its text is empty if the row can't be decoded.
type savedRow struct {
	text    savedText
	version int64
}

// extends reports whether a text is worth replacing an earlier one.
func (s savedText) extends(earlier savedText) bool {
	return !earlier.Complete && (s.Complete || s.LastEvent > earlier.LastEvent)
}

// generatedTexts returns the texts that the run has generated, by item ID.
func (r *run) generatedTexts() map[string]savedText {
	r.mu.Lock()
	defer r.mu.Unlock()
	texts := make(map[string]savedText)
	for _, result := range r.list.queued {
		if result.Outcome == Completed && result.Object == "" {
			texts[result.Item] = savedText{Text: result.Text, Versions: result.Versions, Complete: true}
		}
	}
	for i, item := range r.items {
		p := &r.progress[i]
		if r.list.phase(i) != phaseDone && p.partial.hasEvents {
			text := p.partial.toSaved()
			text.Failures, text.ScoreFailures = p.failures, p.scoreTries.NegativeAnswers
			texts[item.ID] = text
		}
	}
	return texts
}
