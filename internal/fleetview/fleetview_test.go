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
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/platform/memory"
	"dogwoodpond/internal/sample"
)

func put(t *testing.T, tables platform.Tables, key string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	err = tables.Commit(t.Context(), platform.Txn{
		Nonce:         key,
		Preconditions: []platform.Precondition{{Key: key}},
		Writes:        []platform.Write{{Key: key, Value: text}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The rows belong to package lease. If its form changes, operators would see a
// list of leases that nobody holds.
func TestLeasesAreThoseOfTheManager(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := memory.NewTables()
		events := event.NewRecorder("vm-1", 64, event.NewClock(time.Now), zap.NewNop())
		manager := lease.NewManager(tables, "vm-1", time.Second, events)
		err := manager.Campaign(t.Context(), "domain/a", func(ctx context.Context, g lease.Guard) (bool, error) {
			leases, err := NewReader(tables, time.Minute).Leases(ctx)
			if err != nil {
				t.Error(err)
			}
			if len(leases) != 1 || leases[0].Name != "domain/a" || leases[0].Holder == "" || leases[0].Epoch != g.Epoch() {
				t.Errorf("leases are %+v, want the one held with epoch %d", leases, g.Epoch())
			}
			return true, nil
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

func TestStepsOfOneAccountAndOfAll(t *testing.T) {
	tables := memory.NewTables()
	progress := sample.NewProgress(sample.Definition{Model: "berry-1", Groups: []sample.Group{{ID: "g", Samples: 3}}})
	put(t, tables, "progress/strathallan/round%2F1", progress)
	put(t, tables, "progress/strathallan2/other", progress)
	r := NewReader(tables, time.Minute)
	all, err := r.Steps(t.Context(), "")
	if err != nil || len(all) != 2 {
		t.Fatalf("all steps are %+v, %v", all, err)
	}
	own, err := r.Steps(t.Context(), "strathallan")
	want := []operator.Step{{Account: "strathallan", Step: "round/1", Model: "berry-1", Slots: 3}}
	if err != nil || !slices.Equal(own, want) {
		t.Errorf("own steps are %+v, %v, want %+v", own, err, want)
	}
}

// More rows than one page: without the next page a busy fleet's later steps
// would be missing from the list, unnoticed.
func TestScansReadAllPages(t *testing.T) {
	tables := memory.NewTables()
	const steps = 2*scanPage + 1
	for i := range steps {
		put(t, tables, "progress/a/"+string(rune('a'+i%26))+time.Duration(i).String(), sample.Progress{})
	}
	all, err := NewReader(tables, time.Minute).Steps(t.Context(), "a")
	if err != nil || len(all) != steps {
		t.Errorf("%d steps, %v, want %d", len(all), err, steps)
	}
}

// A row that can't be read must show as a failure, not as a list without it.
func TestUnreadableRowFails(t *testing.T) {
	tables := memory.NewTables()
	put(t, tables, "progress/a/s", "text")
	if _, err := NewReader(tables, time.Minute).Steps(t.Context(), ""); fault.CodeOf(err) != fault.CodeInternal || err == nil {
		t.Errorf("Steps fails with %v", err)
	}
}
