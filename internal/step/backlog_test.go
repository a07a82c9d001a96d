package step

import (
	"testing"
	"time"
)

// Guards against results that are ready at the end of an outage of the store and become readable one
// batch after another, with a wait before each.
func TestResultsOfAnOutageAreCommittedAtOnce(t *testing.T) {
	for _, submitted := range []string{"during", "before"} {
		t.Run(submitted, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				const total = 4*maxBatchResults - 20
				cl := newCluster(t, "e1", "e2", "e3", "e4")
				cl.engines.behave[""] = pacedBehaviour(3, 50*time.Millisecond)
				a := cl.start("a")
				time.Sleep(time.Second)
				accepted := make(chan error, 1)
				cl.store.SetDown(submitted == "during")
				go func() { accepted <- a.Submit(t.Context(), spec("s"), items(total)) }()
				time.Sleep(100 * time.Millisecond)
				cl.store.SetDown(true)
				time.Sleep(5 * time.Second)
				cl.store.SetDown(false)
				if err := <-accepted; err != nil {
					t.Fatal(err)
				}
				ended := time.Now()
				var read int
				for read < total && time.Since(ended) < 2*time.Second {
					results, _, err := a.Results(t.Context(), "s", "acc", read, time.Second)
					if err != nil {
						t.Fatal(err)
					}
					if read == 0 {
						// The store's outage ends for the VM with its first commit.
						ended = time.Now()
					}
					read += len(results)
				}
				if took := time.Since(ended); read < total || took >= commitDelay {
					t.Errorf("%d of %d results, the last %s after the first", read, total, took)
				}
			})
		})
	}
}
