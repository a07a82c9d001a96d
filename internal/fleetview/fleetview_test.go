package fleetview

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
	"dogwoodpond/internal/sample"
)

func putRow(t *testing.T, tables platformapi.Tables, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	err = tables.Commit(t.Context(), platformapi.Txn{
		Nonce:         key,
		Preconditions: []platformapi.Precondition{{Key: key}},
		Writes:        []platformapi.Write{{Key: key, Value: encoded}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a reader that does not decode the rows that package lease writes:
// after a change of their form, operators would see leases without holders.
func TestLeasesReadsRowsOfLeaseManager(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := memtables.NewTables()
		events := event.NewRecorder("vm-1", 64, event.NewClock(time.Now), zap.NewNop())
		manager := lease.NewManager(tables, "vm-1", time.Second, events)
		err := manager.Campaign(t.Context(), "domain/a", func(ctx context.Context, g lease.Guard) (bool, error) {
			leases, err := NewReader(tables, time.Minute).Leases(ctx)
			if err != nil {
				t.Error(err)
			}
			if len(leases) != 1 || leases[0].Name != "domain/a" || leases[0].Holder == "" || leases[0].Epoch != g.Epoch() {
				t.Errorf("Leases returned %+v, want the held lease with epoch %d", leases, g.Epoch())
			}
			return true, nil
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

func TestStepsSelectsAccount(t *testing.T) {
	tables := memtables.NewTables()
	progress := sample.NewProgress(sample.Definition{Model: "berry-1", Groups: []sample.Group{{ID: "g", Samples: 3}}})
	putRow(t, tables, "progress/strathallan/round%2F1", progress)
	putRow(t, tables, "progress/strathallan2/other", progress)
	r := NewReader(tables, time.Minute)
	all, err := r.Steps(t.Context(), "")
	if err != nil || len(all) != 2 {
		t.Fatalf("Steps of all accounts: %+v, %v", all, err)
	}
	ofOne, err := r.Steps(t.Context(), "strathallan")
	want := []operator.Step{{Account: "strathallan", Step: "round/1", Model: "berry-1", Slots: 3}}
	if err != nil || !slices.Equal(ofOne, want) {
		t.Errorf("Steps of one account: %+v, %v, want %+v", ofOne, err, want)
	}
}

// Guards against a scan that ends after the first page: steps would be missing from
// the list of a busy fleet without an error.
func TestStepsReadsAllPages(t *testing.T) {
	tables := memtables.NewTables()
	const steps = 2*scanPageSize + 1
	for i := range steps {
		putRow(t, tables, "progress/a/"+string(rune('a'+i%26))+time.Duration(i).String(), sample.Progress{})
	}
	all, err := NewReader(tables, time.Minute).Steps(t.Context(), "a")
	if err != nil || len(all) != steps {
		t.Errorf("Steps returned %d steps, %v, want %d", len(all), err, steps)
	}
}

// Guards against a list that leaves out a row that can't be decoded, without an
// error.
func TestStepsFailsOnMalformedRow(t *testing.T) {
	tables := memtables.NewTables()
	putRow(t, tables, "progress/a/s", "text")
	if _, err := NewReader(tables, time.Minute).Steps(t.Context(), ""); fault.CodeOf(err) != fault.CodeInternal || err == nil {
		t.Errorf("Steps of a malformed row: %v, want an internal error", err)
	}
}
