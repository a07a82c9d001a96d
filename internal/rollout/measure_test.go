package rollout

import (
	"fmt"
	"math"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/sample"
)

// The measurements run in virtual time, so that they give the same figures on
// every machine. Run them with: go test -run TestMeasure -v ./internal/rollout

const (
	measureVMs     = 9
	measureGroups  = 64
	measureSamples = 8
)

// stragglerDuration returns 1 to 3 s for most attempts, and 40 s more for one
// first attempt in fifty, as on an engine that has become slow.
func stragglerDuration(slot string, attempt int) time.Duration {
	h := xxhash.Sum64String(slot)
	took := time.Second + time.Duration(h%2000)*time.Millisecond
	if attempt == 1 && h>>16%50 == 0 {
		took += 40 * time.Second
	}
	return took
}

// measurement holds the figures of one step.
type measurement struct {
	took   time.Duration
	idle   time.Duration
	tokens int
	rows   int
	reads  int64
	writes int64
	count  int
	ages   []sample.Age
	// withdrawn counts the tombstones.
	withdrawn int
}

// measure runs one step on all VMs. The trainer spends trainTime on each sample
// and pulls when it has none left. prepare may change the cluster.
func measure(t *testing.T, bound contract.Staleness, trainTime time.Duration, prepare func(c *cluster)) (m measurement) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, bound)
		defer c.stop()
		c.engine.duration = stragglerDuration
		prepare(c)
		for n := range measureVMs {
			c.start(fmt.Sprintf("vm-%d", n), nil)
		}
		d := testStep(measureGroups, measureSamples)
		tr := newTrainer(c, "s", d)
		began := time.Now()
		tr.open(d)
		readsBefore, writesBefore := c.tables.Counts()
		for len(tr.received) < tr.total {
			asked := time.Now()
			got := tr.pull()
			m.idle += time.Since(asked)
			for _, s := range got {
				if !s.Withdrawn {
					m.ages = append(m.ages, c.weights.age(s))
				}
			}
			tr.receive(got)
			tr.ack()
			time.Sleep(time.Duration(len(got)) * trainTime)
		}
		reads, writes := c.tables.Counts()
		m.took, m.tokens, m.withdrawn, m.count = time.Since(began), c.engine.generated(), tr.tombstones, d.Count()
		m.reads, m.writes, m.rows = reads-readsBefore, writes-writesBefore, c.written()
	})
	return m
}

// Stragglers delay the end of a step. Measures one step without and one with
// hedging.
func TestMeasureHedging(t *testing.T) {
	const trainTime = 10 * time.Millisecond
	plain := measure(t, noBound, trainTime, func(c *cluster) { c.withoutHedging = true })
	hedged := measure(t, noBound, trainTime, func(*cluster) {})
	report := func(name string, m measurement) {
		t.Logf("%-16s step %6.1f s  trainer idle %6.1f s  tokens %d (%+.1f%%)", name, m.took.Seconds(), m.idle.Seconds(),
			m.tokens, 100*float64(m.tokens-m.count*testTokens)/float64(m.count*testTokens))
	}
	report("without hedging", plain)
	report("with hedging", hedged)
	if hedged.took >= plain.took {
		t.Error("hedging did not shorten the step")
	}
}

// Measures the load on the store per sample. The baseline commits each sample
// in a transaction of its own, with a row each for slot, sample and step.
func TestMeasureStoreWrites(t *testing.T) {
	m := measure(t, noBound, 0, func(*cluster) {})
	perSample := func(n int) float64 { return float64(n) / float64(m.count) }
	t.Logf("batched: %.3f transactions, %.3f rows written, %.2f reads a sample; plain: 1 transaction, 3 rows a sample",
		perSample(int(m.writes)), perSample(m.rows), perSample(int(m.reads)))
	if m.writes >= int64(m.count) {
		t.Error("batching saved no transaction")
	}
}

// New weights are published every 20 s while a slow trainer processes the
// samples. Measures the ages at delivery under a staleness bound, and without
// any bound.
func TestMeasureSampleAge(t *testing.T) {
	publishing := func(c *cluster) {
		for n := range 10 {
			time.AfterFunc(time.Duration(n+1)*20*time.Second, c.weights.publish)
		}
	}
	const trainTime = 200 * time.Millisecond
	for _, bound := range []contract.Staleness{noBound, {MaxVersions: 2, MaxSeconds: 45}} {
		m := measure(t, bound, trainTime, publishing)
		var versions, seconds []float64
		for _, age := range m.ages {
			versions = append(versions, float64(age.Versions))
			seconds = append(seconds, age.Elapsed.Seconds())
		}
		t.Logf("bound %4d versions, %2d s: age p50 %.0f p99 %.0f max %.0f versions, p50 %.1f p99 %.1f max %.1f s; withdrawn %d, step %.1f s",
			bound.MaxVersions, bound.MaxSeconds, quantile(versions, 0.5), quantile(versions, 0.99), quantile(versions, 1),
			quantile(seconds, 0.5), quantile(seconds, 0.99), quantile(seconds, 1), m.withdrawn, m.took.Seconds())
		if bound.MaxSeconds > 0 && quantile(seconds, 1) > float64(bound.MaxSeconds) {
			t.Error("a sample was delivered past the bound")
		}
	}
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// An owner dies in the middle of a step. Measures the tokens that are generated
// again for the slots without a committed sample, and compares them with what
// whole groups or the whole step would take at the same moment.
func TestMeasureRecovery(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, noBound)
			defer c.stop()
			c.withoutHedging = true
			c.engine.duration = func(slot string, _ int) time.Duration { return stragglerDuration(slot, 2) }
			owner := c.start("vm-0", nil)
			d := testStep(measureGroups, measureSamples)
			tr := newTrainer(c, "s", d)
			tr.openOwnedBy(owner, d)
			for n := range measureVMs - 1 {
				c.start(fmt.Sprintf("vm-%d", n+1), nil)
			}
			time.Sleep(after - 100*time.Millisecond)
			owner.Kill()
			synctest.Wait()
			progress, _, err := store{tables: c.tables}.progress(t.Context(), stepRef{account: testAccount, step: "s"})
			if err != nil {
				t.Fatal(err)
			}
			before := c.engine.generated()
			slots, groups := missing(d, progress)
			tr.finish()
			selective := c.engine.generated() - before
			t.Logf("owner dies after %s with %d of %d slots committed: selective %d tokens, whole groups %d, whole step %d",
				after, progress.Count(), progress.Slots, selective, groups*measureSamples*testTokens, progress.Slots*testTokens)
			if selective != slots*testTokens {
				t.Errorf("%d tokens for %d slots", selective, slots)
			}
		})
	}
}

// missing counts the slots without a sample, and the groups with such a slot.
func missing(d sample.Definition, p sample.Progress) (slots, groups int) {
	names := make(map[string]bool)
	for _, s := range d.Slots() {
		if !p.Has(s.Position) {
			slots++
			names[s.Group] = true
		}
	}
	return slots, len(names)
}

// Measures the largest step: processor time per sample, and the size of the row
// that every commit replaces. The time includes the whole test with engines,
// trainer and store, so it is an upper bound for the owner.
func TestMeasureOwnerCost(t *testing.T) {
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		t.Fatal(err)
	}
	var progress int
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, noBound)
		defer c.stop()
		c.engine.duration = func(slot string, attempt int) time.Duration { return 10 * stragglerDuration(slot, attempt) }
		for n := range measureVMs {
			c.start(fmt.Sprintf("vm-%d", n), nil)
		}
		d := testStep(sample.MaxSlots/measureSamples, measureSamples)
		tr := newTrainer(c, "s", d)
		tr.open(d)
		tr.finish()
		row, err := c.tables.Get(t.Context(), stepRef{account: testAccount, step: "s"}.progressKey())
		if err != nil {
			t.Fatal(err)
		}
		progress = len(row.Value)
	})
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		t.Fatal(err)
	}
	spent := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	t.Logf("%d slots: %.2f ms of processor time a sample, progress row %d bytes",
		sample.MaxSlots, float64(spent.Microseconds())/1000/sample.MaxSlots, progress)
}
