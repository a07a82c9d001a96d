package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi/faultinject"
)

// stallTerm is the term of the leases in the plays of stallingReceiver.
const stallTerm = 3 * time.Second

// stallingReceiver is the receiver of spec/pending.pml. It ignores fencing tokens, and reads an
// action at once or up to readLimit after the renewal that preceded the action. It is safe
// for concurrent use.
type stallingReceiver struct {
	readLimit time.Duration

	mu     sync.Mutex
	random *rand.Rand
	newest uint64
	// reads is the number of actions read, and late that of those which were read after their
	// sender had given them up.
	reads, late int
	violation   string
}

// receive lets an action arrive, and waits for its answer.
func (r *stallingReceiver) receive(ctx context.Context, g Guard) error {
	renewedAt := g.Deadline().Add(-stallTerm)
	if err := g.Check(); err != nil {
		return fault.WithExecution(err, fault.NotRun)
	}
	epoch, read := g.Epoch(), make(chan struct{})
	delay := r.drawDelay(time.Until(renewedAt.Add(r.readLimit)))
	if delay <= 0 {
		r.read(epoch, false)
		return nil
	}
	time.AfterFunc(delay, func() {
		r.read(epoch, ctx.Err() != nil)
		close(read)
	})
	select {
	case <-read:
		return nil
	case <-ctx.Done():
		return errors.WithStack(&fault.StoreUnavailable{Operation: "action", EffectUnknown: true})
	}
}

// drawDelay draws for how long an action waits: not at all, up to longest, or for longest.
func (r *stallingReceiver) drawDelay(longest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.random.IntN(4) {
	case 0:
		return longest
	case 1:
		return time.Duration(r.random.Int64N(int64(longest)))
	}
	return 0
}

func (r *stallingReceiver) read(epoch uint64, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if late {
		r.late++
	}
	if epoch < r.newest {
		r.violation = fmt.Sprintf("an action of epoch %d was read after one of epoch %d", epoch, r.newest)
	}
	r.newest = max(r.newest, epoch)
}

// disturbance is what happens to the process of a VM, and when.
type disturbance struct {
	after time.Duration
	vm    int
	kind  disturbanceKind
	// length is how long a pause or a cut lasts, or until a new process starts.
	length time.Duration
}

type disturbanceKind int

const (
	killed disturbanceKind = iota
	stopped
	paused
	cutOffFromStore
	disturbanceKinds
)

// String describes the disturbance for a falsified property.
func (d disturbance) String() string {
	return fmt.Sprint(d.after, " vm-", d.vm, " ", []string{"killed", "stopped", "paused", "cut off"}[d.kind], " ", d.length)
}

// stallPlay is one play: two VMs act under a lease, and their processes are disturbed.
type stallPlay struct {
	receiver *stallingReceiver
	cluster  *faultinject.Cluster
	seed     uint64

	running   sync.WaitGroup
	processes [2]*actingProcess
}

// actingProcess is a process that acts while it holds the lease.
type actingProcess struct {
	*faultinject.Process
	ended chan struct{}
}

// start starts the process of a VM.
func (p *stallPlay) start(ctx context.Context, vm, number int) {
	process := &actingProcess{p.cluster.Start(ctx, fmt.Sprint("vm-", vm)), make(chan struct{})}
	p.processes[vm] = process
	random := rand.New(rand.NewPCG(p.seed, uint64(2*number+vm+2)))
	m := NewManager(process, process.Name, stallTerm, newTestManager(process.Process).events, WithSoleProcess())
	p.running.Go(func() {
		defer close(process.ended)
		_ = m.Campaign(process.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			if err := WaitOrderGracePeriod(ctx, g, OrderTimeout); err != nil {
				return false, err
			}
			var actions sync.WaitGroup
			defer actions.Wait()
			for sleep(ctx, time.Duration(random.Int64N(int64(stallTerm/2)))) == nil {
				actions.Go(func() { p.act(ctx, process.Process, g) })
			}
			return false, nil
		})
	})
}

// act sends one action. Its process can be paused or killed before the write.
func (p *stallPlay) act(ctx context.Context, process *faultinject.Process, g Guard) {
	_ = Act(ctx, g, OrderTimeout, func(ctx context.Context) error {
		return process.Call(ctx, "action", "", true, func() error { return p.receiver.receive(ctx, g) })
	})
}

// disturb carries out a disturbance.
func (p *stallPlay) disturb(ctx context.Context, number int, d disturbance) {
	time.Sleep(d.after)
	process := p.processes[d.vm]
	switch d.kind {
	case paused:
		process.Pause(d.length)
		return
	case cutOffFromStore:
		process.CutOff(d.length)
		return
	case killed:
		process.Kill()
	case stopped:
		process.Stop()
		<-process.ended
	default:
	}
	time.Sleep(d.length)
	p.start(ctx, d.vm, number)
}

// playStall plays the disturbances, with faults of the store drawn from seed, and returns the
// receiver.
func playStall(t *testing.T, seed uint64, readLimit time.Duration, disturbances []disturbance) *stallingReceiver {
	receiver := &stallingReceiver{readLimit: readLimit, random: rand.New(rand.NewPCG(seed, 0))}
	synctest.Test(t, func(t *testing.T) {
		faults := rand.New(rand.NewPCG(seed, 1))
		p := &stallPlay{receiver: receiver, seed: seed, cluster: faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
			kinds := []faultinject.Kind{faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect, faultinject.PauseBefore, faultinject.PauseAfter}
			if s.Call == "action" {
				kinds = []faultinject.Kind{faultinject.PauseBefore, faultinject.PauseAfter, faultinject.KillAfter}
			}
			if faults.IntN(8) > 0 {
				return faultinject.Fault{}
			}
			return faultinject.Fault{Kind: kinds[faults.IntN(len(kinds))], Duration: time.Duration(faults.Int64N(int64(stallTerm)))}
		})}
		ctx, cancel := context.WithCancel(context.Background())
		for vm := range p.processes {
			p.start(ctx, vm, 0)
		}
		for i, d := range disturbances {
			p.disturb(ctx, i+1, d)
		}
		time.Sleep(4 * stallTerm)
		cancel()
		p.running.Wait()
		time.Sleep(readLimit + 2*stallTerm)
	})
	return receiver
}

func genDisturbances() gopter.Gen {
	duration := gen.Int64Range(0, int64(3*stallTerm))
	return gen.SliceOfN(12, gopter.CombineGens(duration, gen.IntRange(0, 1), gen.IntRange(0, int(disturbanceKinds)-1), duration).
		Map(func(drawn []any) disturbance {
			return disturbance{time.Duration(drawn[0].(int64)), drawn[1].(int), disturbanceKind(drawn[2].(int)), time.Duration(drawn[3].(int64))}
		}))
}

// Guards against an action that a receiver which stands still reads after one of a later epoch.
func TestStallingReceiverReadsNoLowerEpochAfterHigher(t *testing.T) {
	timing := NewTiming(stallTerm)
	limit := timing.PendingActionWait() + OrderGracePeriod(OrderTimeout) - time.Nanosecond
	parameters := gopter.DefaultTestParametersWithSeed(9)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	var reads, late int
	var epochs uint64
	properties.Property("epochs in order", prop.ForAllNoShrink(func(seed uint64, disturbances []disturbance) string {
		r := playStall(t, seed, limit, disturbances)
		reads, late, epochs = reads+r.reads, late+r.late, epochs+r.newest
		return r.violation
	}, gen.UInt64(), genDisturbances()))
	properties.TestingRun(t)
	t.Logf("%d actions read, %d of them late, %d epochs", reads, late, epochs)
	if late < reads/10 || epochs < 400 {
		t.Errorf("%d actions read, %d of them late, %d epochs, want more", reads, late, epochs)
	}
}
