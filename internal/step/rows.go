package step

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
)

const (
	// rowLimit is the maximum size of a row's value; the store accepts 64 KiB.
	rowLimit = 56 << 10
	// txnLimit is the maximum size of the values in one transaction; the store accepts
	// 1 MB, with all values encoded in base64.
	txnLimit = 600 << 10
	// txnMaxEntries is the maximum number of expectations, puts and deletes in one transaction.
	txnMaxEntries = 100
	// objectLimit is the maximum size of an object; the store accepts 8 MiB.
	objectLimit = 6 << 20
	// readLimit is the maximum size of the texts that one read returns; callers accept
	// 1 MB.
	readLimit = 800 << 10
)

// packedChunk is a JSON array of consecutive values that is stored in one row or object.
type packedChunk struct {
	body  []byte
	count int
}

// pack encodes values into JSON arrays of at most limit bytes each. A value that alone
// exceeds the limit gets an array of its own.
func pack[T any](values []T, limit int) ([]packedChunk, error) {
	var out []packedChunk
	for _, value := range values {
		text, err := encodeRow(value)
		if err != nil {
			return nil, err
		}
		last := len(out) - 1
		if last >= 0 && len(out[last].body)+len(text)+2 <= limit {
			out[last].body = append(append(out[last].body, ','), text...)
			out[last].count++
			continue
		}
		out = append(out, packedChunk{body: append([]byte{'['}, text...), count: 1})
	}
	for i := range out {
		out[i].body = append(out[i].body, ']')
	}
	return out, nil
}

// creationTxn returns the transaction that creates a step, and the state that it writes.
// Items that don't fit into one transaction are stored as objects first, so that the
// state row never refers to objects that do not exist.
func creationTxn(ctx context.Context, store rowstore.Store, state State, items []Item) (rowstore.Txn, State, error) {
	chunks, err := pack(items, rowLimit)
	if err != nil {
		return rowstore.Txn{}, state, err
	}
	var puts []rowstore.Put
	if fitsTransaction(chunks) {
		for i, chunk := range chunks {
			puts = append(puts, rowstore.Put{Key: itemsKey(state.ID, i), Value: chunk.body})
		}
	} else if state.Objects, err = putItems(ctx, store, state.ID, items); err != nil {
		return rowstore.Txn{}, state, err
	}
	value, err := encodeRow(state)
	if err != nil {
		return rowstore.Txn{}, state, err
	}
	return rowstore.Txn{
		Expected: []rowstore.Expectation{{Key: stateKey(state.ID)}},
		Puts:     append(puts, rowstore.Put{Key: stateKey(state.ID), Value: value}),
	}, state, nil
}

func fitsTransaction(chunks []packedChunk) bool {
	const maxRows = 90
	total := 0
	for _, c := range chunks {
		if len(c.body) > rowLimit {
			return false
		}
		total += len(c.body)
	}
	return total <= txnLimit && len(chunks) <= maxRows
}

// putItems stores the items of a step as objects and returns the names of these.
func putItems(ctx context.Context, store rowstore.Store, id string, items []Item) ([]string, error) {
	chunks, err := pack(items, objectLimit)
	if err != nil {
		return nil, err
	}
	prefix := "step-" + id + "-" + uuid.NewString()
	var names []string
	for i, chunk := range chunks {
		name := prefix + "-" + strconv.Itoa(i)
		if err := store.PutObject(ctx, name, chunk.body); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// readState reads the state row of a step. It fails with *fault.StepUnknown when the
// store has no such row.
func readState(ctx context.Context, store rowstore.Store, id string) (stateRecord, error) {
	page, err := store.Read(ctx, stateTable, id, stateName, "")
	if err != nil {
		return stateRecord{}, err
	}
	if len(page.Rows) == 0 {
		return stateRecord{}, errors.WithStack(&fault.StepUnknown{Step: id})
	}
	return decodeState(page.Rows[0])
}

// readResults reads the committed results starting at position from. It returns at most
// readLimit bytes of text, but at least one result if there is one. It fails if results before others
// are missing.
func readResults(ctx context.Context, store rowstore.Store, id string, from int) ([]Result, error) {
	page, err := store.Read(ctx, resultTable, id, resultName(from), "")
	if err != nil {
		return nil, err
	}
	out, err := joinResults(page.Rows, id, from)
	return truncateResults(readLimit, out), err
}

// readAllResults reads all committed results of a step. It fails if results before others are missing.
func readAllResults(ctx context.Context, store rowstore.Store, id string) ([]Result, error) {
	rows, err := rowstore.ReadAll(ctx, store, resultTable, id)
	if err != nil {
		return nil, err
	}
	return joinResults(rows, id, 0)
}

// joinResults returns the results of consecutive rows, from a position in the first row on. It fails if
// results between that position and a row are missing: the results of the row would get positions of
// others.
func joinResults(rows []rowstore.Row, id string, from int) ([]Result, error) {
	var out []Result
	for _, row := range rows {
		results, first, err := decodeResults(row)
		if err != nil {
			return nil, err
		}
		if next := from + len(out); first > next {
			return nil, errors.WithStack(&fault.Internal{Where: "results of step " + id + " from position " + strconv.Itoa(next)})
		}
		if first < from {
			results = results[from-first:]
		}
		out = append(out, results...)
	}
	return out, nil
}

// decodeResults returns the results of a row and the position of the first one.
func decodeResults(row rowstore.Row) (results []Result, first int, err error) {
	last, err := strconv.Atoi(row.Name)
	if err == nil {
		err = json.Unmarshal(row.Value, &results)
	}
	if err != nil {
		return nil, 0, errors.WithStack(&fault.Internal{Where: "row " + row.String()})
	}
	return results, last + 1 - len(results), nil
}

// truncateResults returns the first results up to a total of limit bytes, but at least one.
func truncateResults(limit int, results []Result) []Result {
	size := 0
	for i, r := range results {
		size += len(r.Text) + len(r.Item)
		if size > limit && i > 0 {
			return results[:i]
		}
	}
	return results
}

// resultPuts returns the puts that store results starting at a position. Texts that are too
// large for a row are stored as objects first.
func resultPuts(ctx context.Context, store rowstore.Store, id string, position int, results []Result) ([]rowstore.Put, error) {
	stored := make([]Result, len(results))
	for i, r := range results {
		inRow, err := offloadText(ctx, store, id, r)
		if err != nil {
			return nil, err
		}
		stored[i] = inRow
	}
	chunks, err := pack(stored, rowLimit)
	if err != nil {
		return nil, err
	}
	var puts []rowstore.Put
	for _, chunk := range chunks {
		position += chunk.count
		puts = append(puts, rowstore.Put{Key: resultKey(id, position-1), Value: chunk.body})
	}
	return puts, nil
}

// endOfResults returns the expectations that a step's committed results end before a position,
// where puts adds results. If they don't, the position is in a row of at most maxBatchResults
// results, whose name is its last position; so none of the next maxBatchResults names may exist.
// Expecting only the absence of the rows in puts would not suffice: a row of fewer or more
// results from the same position has another name.
func endOfResults(id string, position int, puts []rowstore.Put) []rowstore.Expectation {
	var expected []rowstore.Expectation
	for _, put := range puts {
		expected = append(expected, rowstore.Expectation{Key: put.Key})
	}
	// One entry is the state row's.
	for last := position; last < position+maxBatchResults && 1+len(expected)+len(puts) < txnMaxEntries; last++ {
		key := resultKey(id, last)
		if !slices.ContainsFunc(puts, func(put rowstore.Put) bool { return put.Key == key }) {
			expected = append(expected, rowstore.Expectation{Key: key})
		}
	}
	return expected
}

// offloadText stores the text of a result as an object if it is too large for a row, and
// returns the result to store in the row.
func offloadText(ctx context.Context, store rowstore.Store, id string, r Result) (Result, error) {
	// JSON encodes a byte in up to six bytes, so the encoded length decides, unless the text
	// is short enough in any case.
	const alwaysFits = rowLimit / 8
	if len(r.Text) <= alwaysFits {
		return r, nil
	}
	if text, err := encodeRow(r); err != nil || len(text) <= rowLimit-2 {
		return r, err
	}
	r.Object = "result-" + id + "-" + uuid.NewString()
	if err := store.PutObject(ctx, r.Object, []byte(r.Text)); err != nil {
		return r, err
	}
	r.Text = ""
	return r, nil
}

// loadOffloadedTexts reads the texts that are stored as objects into the results.
func loadOffloadedTexts(ctx context.Context, store rowstore.Store, results []Result) error {
	for i := range results {
		if results[i].Object == "" || results[i].Text != "" {
			continue
		}
		body, err := store.GetObject(ctx, results[i].Object)
		if err != nil {
			return err
		}
		results[i].Text = string(body)
	}
	return nil
}
