package platformtest

import (
	"testing"
	"testing/synctest"

	"dogwoodpond/internal/kept"
	"dogwoodpond/internal/kept/memory"
)

// Guards against a data race between a delayed effect and the result of its caller.
// Here the commit takes effect at the same instant as its caller times out.
func TestDelayedCommitDoesNotRaceWithCaller(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			cluster := NewWorld(func(Step) Fault { return Fault{Kind: Late, For: CallTimeout} })
			p := cluster.Start(t.Context(), "vm")
			key := kept.Key{Table: "t", Name: "row"}
			version, err := p.Kept(memory.New()).Commit(t.Context(), kept.Txn{Puts: []kept.Put{{Key: key}}})
			if err == nil || version != 0 {
				t.Errorf("Commit = %d, %v", version, err)
			}
			synctest.Wait()
		})
	}
}
