package kept

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// Tables offers a table of the partitioned store as platform.Tables, which the
// leases use. Each key gets a partition of its own, so that a transaction holds
// one row. The versions of platform.Tables count the writes of a row; here they
// are kept beside the value.
type Tables struct {
	store Store
	table string

	mu    sync.Mutex
	known map[string]knownRow
}

// knownRow maps the latest count of a row to its version in the store, which
// saves a read before each write.
type knownRow struct {
	count   uint64
	version int64
}

// NewTables returns the named table of a store.
func NewTables(store Store, table string) *Tables {
	return &Tables{store: store, table: table, known: make(map[string]knownRow)}
}

// counted is the stored form of a row.
type counted struct {
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
	Value []byte `json:"value"`
}

const rowName = "row"

func (t *Tables) key(key string) Key { return Key{Table: t.table, Part: key, Name: rowName} }

// Get implements platform.Tables.
func (t *Tables) Get(ctx context.Context, key string) (platform.Row, error) {
	page, err := t.store.Read(ctx, t.table, key, "", "")
	if err != nil {
		return platform.Row{}, err
	}
	row := platform.Row{Key: key}
	if len(page.Rows) == 0 {
		t.remember(key, knownRow{})
		return row, nil
	}
	var c counted
	if err := json.Unmarshal(page.Rows[0].Value, &c); err != nil {
		return row, errors.WithStack(&fault.Internal{Where: "row " + page.Rows[0].String()})
	}
	t.remember(key, knownRow{count: c.Count, version: page.Rows[0].Version})
	row.Version, row.Nonce, row.Value = c.Count, c.Nonce, c.Value
	return row, nil
}

// Scan implements platform.Tables.
func (t *Tables) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	for {
		parts, more, err := t.store.Parts(ctx, t.table, after)
		if err != nil {
			return nil, err
		}
		for _, part := range parts {
			after = part
			if !strings.HasPrefix(part, prefix) {
				continue
			}
			row, err := t.Get(ctx, part)
			if err != nil {
				return nil, err
			}
			if row.Exists() {
				rows = append(rows, row)
			}
			if len(rows) == limit {
				return rows, nil
			}
		}
		if !more {
			return rows, nil
		}
	}
}

// Commit implements platform.Tables. It takes transactions of one row only.
func (t *Tables) Commit(ctx context.Context, txn platform.Txn) error {
	if len(txn.Preconditions) != 1 || len(txn.Writes) != 1 || txn.Writes[0].Key != txn.Preconditions[0].Key {
		return errors.WithStack(&fault.Internal{Where: "transaction over several rows"})
	}
	pre, write := txn.Preconditions[0], txn.Writes[0]
	version, err := t.versionAt(ctx, pre)
	if err != nil {
		return err
	}
	next := counted{Count: pre.Version + 1, Nonce: txn.Nonce, Value: write.Value}
	key := t.key(pre.Key)
	written, err := t.store.Commit(ctx, Txn{
		Expected: []Expectation{{Key: key, Version: version}},
		Puts:     []Put{{Key: key, Value: platform.EncodeValue(next)}},
	})
	if err == nil {
		t.remember(pre.Key, knownRow{count: next.Count, version: written})
		return nil
	}
	t.forget(pre.Key)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return errors.WithStack(&fault.PreconditionFailed{Row: pre.Key, Want: pre.Version})
	}
	return err
}

// versionAt returns the store's version of a row at a count.
func (t *Tables) versionAt(ctx context.Context, pre platform.Precondition) (int64, error) {
	if known, ok := t.recall(pre.Key); ok && known.count == pre.Version {
		return known.version, nil
	}
	row, err := t.Get(ctx, pre.Key)
	if err != nil {
		// Nothing was written yet, whatever the read ran into.
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "read before commit"})
	}
	if row.Version != pre.Version {
		return 0, errors.WithStack(&fault.PreconditionFailed{Row: pre.Key, Want: pre.Version, Have: row.Version})
	}
	known, _ := t.recall(pre.Key)
	return known.version, nil
}

func (t *Tables) remember(key string, row knownRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known[key] = row
}

func (t *Tables) forget(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.known, key)
}

func (t *Tables) recall(key string) (knownRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.known[key]
	return row, ok
}
