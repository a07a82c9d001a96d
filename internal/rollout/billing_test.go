package rollout

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

// isBatchKey reports whether a key is that of a batch of samples.
func isBatchKey(key string) bool { return strings.HasPrefix(key, "samples/") }

// delayBatchReplies returns a reply delay for commits of samples.
func delayBatchReplies(d time.Duration) func(platformapi.Txn) time.Duration {
	return func(txn platformapi.Txn) time.Duration {
		if isBatchKey(txn.Writes[0].Key) {
			return d
		}
		return 0
	}
}

// loseBatchReplies returns a script that loses the reply to the first commit of
// samples, and the replies to the first reads of batches that follow.
func loseBatchReplies(reads int) faultinject.Script {
	lost := false
	return func(step faultinject.Step) faultinject.Fault {
		switch {
		case !isBatchKey(step.Subject):
			return faultinject.Fault{}
		case step.Call == "commit" && !lost:
			lost = true
			return faultinject.Fault{Kind: faultinject.LoseReply}
		case step.Call == "get" && lost && reads > 0:
			reads--
			return faultinject.Fault{Kind: faultinject.LoseReply}
		}
		return faultinject.Fault{}
	}
}

// stopDuringFirstBatch returns a reply delay that delays the reply to the first
// commit of samples by d and stops a VM after half of it, or after 1 s if that is
// earlier.
func stopDuringFirstBatch(v *testVM, d time.Duration) func(platformapi.Txn) time.Duration {
	var stopping atomic.Bool
	return func(txn platformapi.Txn) time.Duration {
		if !isBatchKey(txn.Writes[0].Key) || stopping.Swap(true) {
			return 0
		}
		time.AfterFunc(min(d/2, time.Second), v.Stop)
		return d
	}
}

// oneFastSlot is the duration of attempts of which that at one slot ends first.
func oneFastSlot(slot string, _ int) time.Duration {
	if slot == "g0.0" {
		return time.Second
	}
	return 3 * time.Second
}

func checkBilled(t *testing.T, c *cluster, samples int64) {
	t.Helper()
	if want := (usage.Counts{Requests: samples, Tokens: samples * testTokens}); c.billed() != want {
		t.Errorf("usage is %+v, want %+v", c.billed(), want)
	}
}

// Guards against samples that are not billed because the search finds their step
// finished while the reply to the last commit is on its way.
func TestLastSamplesAreBilledWhenTheSearchEndsTheCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.replyDelay = delayBatchReplies(1500 * time.Millisecond)
		c.start("vm-a", nil)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}

// Guards against samples that are not billed because their owner is stopped while
// the reply to their commit is on its way.
func TestSamplesAreBilledWhenTheOwnerStopsDuringACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		owner := c.start("vm-a", nil)
		c.engine.duration = oneFastSlot
		c.replyDelay = stopDuringFirstBatch(owner, 300*time.Millisecond)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.openOwnedBy(owner, d)
		c.start("vm-b", nil)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}

// Guards against samples that are not billed because no reply tells the owner that
// their commit took effect, and the next commit skips their slots.
func TestSamplesAreBilledAfterAnUnconfirmedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.platform.SetScript(loseBatchReplies(4))
		c.start("vm-a", nil)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}

// Guards against samples that are not billed because the owner stops before it knows
// whether their commit took effect.
func TestSamplesAreBilledWhenTheOwnerStopsAfterAnUnconfirmedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		owner := c.start("vm-a", nil)
		c.engine.duration = oneFastSlot
		c.replyDelay = stopDuringFirstBatch(owner, time.Hour)
		d := testStep(4, 2)
		tr := newTrainer(c, "s", d)
		tr.openOwnedBy(owner, d)
		c.start("vm-b", nil)
		tr.finish()
		time.Sleep(10 * time.Second)
		checkBilled(t, c, int64(d.Count()))
	})
}

// Guards against samples that are not billed, or are billed by two owners, because
// the owner loses its lease while the outcome of their commit is unknown.
func TestSamplesAreBilledOnceWhenTheOwnerChangesAfterAnUnconfirmedCommit(t *testing.T) {
	for name, stops := range map[string]bool{"the owner goes on": false, "the owner is stopped later": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, noBound)
				defer c.stop()
				owner := c.start("vm-a", nil)
				c.engine.duration = oneFastSlot
				lose := loseBatchReplies(0)
				c.platform.SetScript(func(step faultinject.Step) faultinject.Fault {
					f := lose(step)
					if f.Kind != faultinject.None {
						// The commit takes effect first.
						time.AfterFunc(time.Second, func() { owner.CutOff(4 * testLeaseTerm) })
					}
					return f
				})
				d := testStep(4, 2)
				tr := newTrainer(c, "s", d)
				tr.openOwnedBy(owner, d)
				c.start("vm-b", nil)
				time.Sleep(5 * testLeaseTerm)
				if stops {
					owner.Stop()
				}
				tr.finish()
				time.Sleep(5 * testLeaseTerm)
				checkBilled(t, c, int64(d.Count()))
			})
		})
	}
}

// epochGuard is the guard of an owner that is never told of the loss of its lease.
type epochGuard uint64

func (epochGuard) Check() error    { return nil }
func (g epochGuard) Epoch() uint64 { return uint64(g) }

// Guards against usage that is billed for a commit without effect, or twice: an owner
// reads the outcome of its commit after other writers have changed the rows.
func TestOutcomeOfAnUnconfirmedCommit(t *testing.T) {
	const owner, next = epochGuard(1), epochGuard(2)
	r := stepRef{account: testAccount, step: "s"}
	d := testStep(1, 3)
	slots := d.Slots()
	generated := func(i int) []sample.Sample {
		return []sample.Sample{{Slot: slots[i], Text: "t", Tokens: testTokens, Spans: []sample.Span{{End: testTokens, Version: 1}}}}
	}
	takeOver := func(t *testing.T, s store) {
		if _, err := s.update(t.Context(), r, func(p sample.Progress) (sample.Progress, bool, error) {
			changed, err := p.SetOwner(r.leaseName(), next.Epoch())
			return changed, true, err
		}); err != nil {
			t.Fatal(err)
		}
	}
	commit := func(t *testing.T, s store, g Guard, slot int) {
		if _, _, err := s.commit(t.Context(), r, g, generated(slot)); err != nil {
			t.Fatal(err)
		}
	}
	withdraw := func(t *testing.T, s store) {
		batches, err := s.batches(t.Context(), r, 0, 1)
		if err != nil {
			t.Fatal(err)
		}
		count, err := s.withdraw(t.Context(), r, 0, batches[0], func(sample.Sample) bool { return true })
		if err != nil || count != 1 {
			t.Fatalf("%d samples withdrawn: %v", count, err)
		}
	}
	for _, c := range []struct {
		name    string
		effect  bool
		changes func(t *testing.T, s store)
		want    writeOutcome
	}{
		{"no effect yet", false, func(*testing.T, store) {}, writePending},
		{"effect", true, func(*testing.T, store) {}, writeCommitted},
		{"effect, then withdrawn", true, withdraw, writeCommitted},
		{"effect, then another owner", true, takeOver, writeCommitted},
		{"effect, then another owner's commit", true, func(t *testing.T, s store) { takeOver(t, s); commit(t, s, next, 1) }, writeCommitted},
		{"another owner", false, takeOver, writeSuperseded},
		{"another owner's commit", false, func(t *testing.T, s store) { takeOver(t, s); commit(t, s, next, 1) }, writeSuperseded},
		{"effect, then another owner and withdrawn", true, func(t *testing.T, s store) { takeOver(t, s); withdraw(t, s) }, writeUndecidable},
		{"another owner's commit, then withdrawn", false, func(t *testing.T, s store) { takeOver(t, s); commit(t, s, next, 1); withdraw(t, s) }, writeUndecidable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kind := faultinject.LoseRequest
				if c.effect {
					kind = faultinject.LoseReply
				}
				cluster := faultinject.NewCluster(func(step faultinject.Step) faultinject.Fault {
					if step.Call == "commit" && isBatchKey(step.Subject) {
						return faultinject.Fault{Kind: kind}
					}
					if isBatchKey(step.Subject) {
						return faultinject.Fault{Kind: faultinject.LoseReply}
					}
					return faultinject.Fault{}
				})
				s := store{tables: cluster.Rows}
				if err := s.open(t.Context(), r, d); err != nil {
					t.Fatal(err)
				}
				if _, err := s.update(t.Context(), r, func(p sample.Progress) (sample.Progress, bool, error) {
					changed, err := p.SetOwner(r.leaseName(), owner.Epoch())
					return changed, true, err
				}); err != nil {
					t.Fatal(err)
				}
				faulty := store{tables: cluster.Start(t.Context(), "vm-a")}
				_, w, err := faulty.commit(t.Context(), r, owner, generated(0))
				if w == nil || !fault.Is[*fault.StoreUnavailable](err) {
					t.Fatalf("the commit returned write %v, error %v, want an unknown outcome", w, err)
				}
				c.changes(t, s)
				if got, err := s.outcome(t.Context(), *w); got != c.want || err != nil {
					t.Errorf("outcome is %d, %v, want %d", got, err, c.want)
				}
			})
		})
	}
}
