package step

import (
	"context"
	"testing"
	"time"

	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

// unlistedParts is a store that lists the partitions of a table only from a time on, so that no full read ends
// before.
type unlistedParts struct {
	rowstore.Store
	until time.Time
}

func (s unlistedParts) Parts(ctx context.Context, table, after string) (partitions []string, more bool, err error) {
	wait.For(ctx, time.Until(s.until))
	return s.Store.Parts(ctx, table, after)
}

// Guards against a VM that has just started and sends an item of an earlier step, under which as many engines
// have ended as are allowed, before it has read the rows of that step.
func TestNoItemStartsBeforeTheFirstFullRead(t *testing.T) {
	for _, how := range []string{"submitted", "taken over", "early"} {
		t.Run(how, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newMortalPlay(t, 48, 1, endsBeforeAnswer)
				a := p.cluster.start("a")
				submit(t, a, p.step, p.items)
				time.Sleep(8 * time.Second)
				if err := a.End(t.Context(), p.step.ID, p.step.Account); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				p.cluster.crash(a)
				if ends, _ := p.endsUnder(p.items[0].ID); ends != maxEndsPerItem {
					t.Fatalf("%d engines ended under the item in the first step", ends)
				}
				const readAfter = 4 * time.Second
				p.cluster.storeOf = func(string) rowstore.Store { return unlistedParts{p.cluster.store, time.Now().Add(readAfter)} }
				c := p.cluster.start("c")
				time.Sleep(10 * time.Millisecond)
				sound := p.items[1].ID
				sentBefore := p.attempts(sound)
				p.step.ID = "s2"
				switch how {
				case "submitted":
					submit(t, c, p.step, p.items)
				case "early":
					p.cluster.store.SetDown(true)
					time.AfterFunc(time.Second, func() { p.cluster.store.SetDown(false) })
					submit(t, c, p.step, p.items)
				case "taken over":
					state := State{Spec: p.step, Owner: "a", OwnerIncarnation: "a-1", Total: len(p.items), Epoch: 1, Nonce: "a"}
					state.SubmittedAt, _ = p.cluster.store.StoreNow()
					txn, _, err := creationTxn(t.Context(), p.cluster.store, state, p.items)
					if err == nil {
						_, err = p.cluster.store.Commit(t.Context(), txn)
					}
					if err == nil {
						_, _, err = c.Results(t.Context(), p.step.ID, p.step.Account, 0, 0)
					}
					if err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(readAfter / 2)
				if n := p.attempts(sound) - sentBefore; n > 0 {
					t.Errorf("an item was sent %d times before the rows were read", n)
				}
				time.Sleep(19 * time.Second)
				p.logTimeline()
				p.check()
			})
		})
	}
}

// Guards against rows of suspicions that were written after the end of their step, while a VM could not read the
// store, and that its next full read leaves out.
func TestRowsAfterTheEndOfAStepAreRead(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1")
		a := cl.start("a")
		submit(t, a, spec("s"), items(2))
		time.Sleep(time.Second)
		if err := a.End(t.Context(), "s", "acc"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		time.Sleep(2 * time.Second)
		lost := suspicion.Record{Suspicion: suspicion.Suspicion{Request: suspicion.Request{Account: "acc", ID: "i0"}, Incarnation: target.Incarnation{Upstream: "e1"}}}
		cl.setRow(rowstore.Key{Table: stateTable, Part: "s", Name: suspicion.RowPrefix + "other"}, []suspicion.Record{lost})
		cl.store.TruncateHistory()
		time.Sleep(time.Minute / 2)
		cl.store.SetDown(false)
		time.Sleep(2 * time.Second)
		if a.suspicions.Count(lost.Request) != 1 {
			t.Error("the row is not known")
		}
	})
}
