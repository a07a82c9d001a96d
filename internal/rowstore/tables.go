package rowstore

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// Tables implements platformapi.Tables, which the leases use, on one table of the store. Each
// key has its own partition, so a transaction covers one row. A version of platformapi.Tables
// counts the writes of a row; this count is stored next to the value.
type Tables struct {
	store Store
	table string

	mu    sync.Mutex
	cache map[string]cachedRow
}

// cachedRow maps the latest count of a row to its version in the store. The cache saves a
// read before each write.
type cachedRow struct {
	count   uint64
	version int64
}

// NewTables returns the named table of the store.
func NewTables(store Store, table string) *Tables {
	return &Tables{store: store, table: table, cache: make(map[string]cachedRow)}
}

// storedRow is the encoding of a row in the store.
type storedRow struct {
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
	Value []byte `json:"value"`
}

// rowName is the name of the only row of a partition.
const rowName = "row"

func (t *Tables) key(key string) Key { return Key{Table: t.table, Part: key, Name: rowName} }

// Get implements platformapi.Tables.
func (t *Tables) Get(ctx context.Context, key string) (platformapi.Row, error) {
	page, err := t.store.Read(ctx, t.table, key, "", "")
	if err != nil {
		return platformapi.Row{}, err
	}
	row := platformapi.Row{Key: key}
	if len(page.Rows) == 0 {
		t.setCached(key, cachedRow{})
		return row, nil
	}
	var stored storedRow
	if err := json.Unmarshal(page.Rows[0].Value, &stored); err != nil {
		return row, errors.WithStack(&fault.Internal{Where: "row " + page.Rows[0].String()})
	}
	t.setCached(key, cachedRow{count: stored.Count, version: page.Rows[0].Version})
	row.Version, row.Nonce, row.Value = stored.Count, stored.Nonce, stored.Value
	return row, nil
}

// Scan implements platformapi.Tables.
func (t *Tables) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	var rows []platformapi.Row
	for {
		partitions, more, err := t.store.Parts(ctx, t.table, after)
		if err != nil {
			return nil, err
		}
		for _, partition := range partitions {
			after = partition
			if !strings.HasPrefix(partition, prefix) {
				continue
			}
			row, err := t.Get(ctx, partition)
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

// Commit implements platformapi.Tables. It accepts only transactions over one row.
func (t *Tables) Commit(ctx context.Context, txn platformapi.Txn) error {
	if len(txn.Preconditions) != 1 || len(txn.Writes) != 1 || txn.Writes[0].Key != txn.Preconditions[0].Key {
		return errors.WithStack(&fault.Internal{Where: "transaction over several rows"})
	}
	pre, write := txn.Preconditions[0], txn.Writes[0]
	version, err := t.storeVersion(ctx, pre)
	if err != nil {
		return err
	}
	next := storedRow{Count: pre.Version + 1, Nonce: txn.Nonce, Value: write.Value}
	key := t.key(pre.Key)
	newVersion, err := t.store.Commit(ctx, Txn{
		Expected: []Expectation{{Key: key, Version: version}},
		Puts:     []Put{{Key: key, Value: platformapi.EncodeValue(next)}},
	})
	if err == nil {
		t.setCached(pre.Key, cachedRow{count: next.Count, version: newVersion})
		return nil
	}
	t.dropCached(pre.Key)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return errors.WithStack(&fault.PreconditionFailed{Row: pre.Key, Want: pre.Version})
	}
	return err
}

// storeVersion returns the version in the store of the row that a precondition names, or fails
// with *fault.PreconditionFailed if the row's count is not the expected one.
func (t *Tables) storeVersion(ctx context.Context, pre platformapi.Precondition) (int64, error) {
	if cached, ok := t.getCached(pre.Key); ok && cached.count == pre.Version {
		return cached.version, nil
	}
	row, err := t.Get(ctx, pre.Key)
	if err != nil {
		// Nothing has been written yet, whatever made the read fail, so EffectUnknown
		// is false.
		return 0, errors.WithStack(&fault.StoreUnavailable{Operation: "read before commit"})
	}
	if row.Version != pre.Version {
		return 0, errors.WithStack(&fault.PreconditionFailed{Row: pre.Key, Want: pre.Version, Have: row.Version})
	}
	cached, _ := t.getCached(pre.Key)
	return cached.version, nil
}

func (t *Tables) setCached(key string, row cachedRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache[key] = row
}

func (t *Tables) dropCached(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cache, key)
}

func (t *Tables) getCached(key string) (cachedRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.cache[key]
	return row, ok
}
