package faultinject

import (
	"testing"
	"testing/synctest"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/rowstore/memory"
)

// Guards against a data race between a delayed effect and the result of its caller.
// Here the commit takes effect at the same instant as its caller times out.
func TestDelayedCommitDoesNotRaceWithCaller(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			cluster := NewCluster(func(Step) Fault { return Fault{Kind: DelayEffect, Duration: CallTimeout} })
			p := cluster.Start(t.Context(), "vm")
			key := rowstore.Key{Table: "t", Name: "row"}
			version, err := p.OpenStore(memory.New()).Commit(t.Context(), rowstore.Txn{Puts: []rowstore.Put{{Key: key}}})
			if err == nil || version != 0 {
				t.Errorf("Commit = %d, %v", version, err)
			}
			synctest.Wait()
		})
	}
}
