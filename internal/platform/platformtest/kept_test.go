package platformtest

import (
	"testing"
	"testing/synctest"

	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
)

// A commit takes effect late, at the very instant at which its caller gives up
// waiting. What the caller returns must not be written by the late effect.
func TestLateCommitDoesNotRaceWithItsCaller(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(func(Step) Fault { return Fault{Kind: Late, For: CallTimeout} })
			p := w.Start(t.Context(), "vm")
			key := kept.Key{Table: "t", Name: "row"}
			version, err := p.Kept(memory.New()).Commit(t.Context(), kept.Txn{Puts: []kept.Put{{Key: key}}})
			if err == nil || version != 0 {
				t.Errorf("Commit = %d, %v", version, err)
			}
			synctest.Wait()
		})
	}
}
