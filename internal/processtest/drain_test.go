package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// balancer picks ready VMs in turn, as seen a little while ago.
type balancer struct {
	fleet *fleet
	next  atomic.Int64
	view  atomic.Pointer[[]*vm]
}

// balancerLag is how old the balancer's view of /readyz gets.
const balancerLag = 300 * time.Millisecond

// newBalancer returns a balancer over the VMs that all returns.
func newBalancer(f *fleet, all func() []*vm) *balancer {
	b := &balancer{fleet: f}
	b.look(all())
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(balancerLag):
				b.look(all())
			}
		}
	})
	f.t.Cleanup(func() {
		close(stop)
		done.Wait()
	})
	return b
}

func (b *balancer) look(all []*vm) {
	ready := []*vm{}
	for _, v := range all {
		if b.fleet.ready(v) {
			ready = append(ready, v)
		}
	}
	b.view.Store(&ready)
}

func (b *balancer) pick() *vm {
	ready := *b.view.Load()
	return ready[int(b.next.Add(1))%len(ready)]
}

// load makes calls through a balancer until its stop is closed.
type load struct {
	fleet    *fleet
	balancer *balancer
	key      string
	stop     chan struct{}
	workers  sync.WaitGroup

	mu       sync.Mutex
	served   map[string]int
	failures []string
}

// callPause bounds the load of one worker.
const callPause = 10 * time.Millisecond

// run repeats a kind of call in a number of workers. The call returns "" or
// what went wrong.
func (l *load) run(kind string, workers int, call func(v *vm, n int) string) {
	for w := range workers {
		l.workers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				time.Sleep(callPause)
				v := l.balancer.pick()
				l.note(kind, v, call(v, w*1_000_000+n))
			}
		})
	}
}

func (l *load) note(kind string, v *vm, problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[kind]++
	if problem != "" {
		l.failures = append(l.failures, fmt.Sprintf("%s at %s: %s", kind, v.id, problem))
	}
}

func (l *load) generate(v *vm, n int) string {
	status, answer := l.fleet.generate(v, l.key, fmt.Sprint("prompt ", n), 32)
	return unlessOK(status, answer)
}

func (l *load) charge(v *vm, n int) string {
	status, answer := l.fleet.charge(v, l.key, fmt.Sprint("tree-", n), fmt.Sprint("charge ", n))
	return unlessOK(status, answer)
}

func (l *load) unkeyed(v *vm, n int) string {
	status, answer := l.fleet.charge(v, l.key, "", fmt.Sprint("confirm ", n))
	return unlessOK(status, answer)
}

// stream reads a stream that lasts longer than the notice of a drain.
func (l *load) stream(v *vm, _ int) string { return l.read(v, streamTokens) }

func (l *load) read(v *vm, maxTokens int) string {
	s, err := l.fleet.tryStream(v, l.key, maxTokens)
	if err != nil {
		return err.Error()
	}
	var text strings.Builder
	if _, err := s.reader.WriteTo(&text); err != nil {
		return err.Error()
	}
	if !strings.Contains(text.String(), "event: answer") {
		return "no terminal event: " + tail(text.String())
	}
	return ""
}

// streamTokens gives streams of at least three seconds at 2 ms a token; the
// notice of a drain is two seconds.
const streamTokens = 6000

func unlessOK(status int, answer []byte) string {
	if status == http.StatusOK {
		return ""
	}
	return fmt.Sprintf("%d %s", status, answer)
}

// Every VM is replaced, one after the other, while callers are served. A stop
// that refuses or cuts off even one request loses a reservation or breaks a
// stream in the middle of its answer.
func TestPlannedStopOfEveryVMFailsNoRequest(t *testing.T) {
	f := startFleet(t, shape{
		domains: []string{"a", "b", "c"}, vms: 3, engines: 2, desks: 1,
		engineArgs: []string{"--token-time", "2ms", "--slots", "32"},
	})
	key := f.grant(testContract("strathallan"))
	var mu sync.Mutex
	vms := append([]*vm{}, f.vms...)
	list := func() []*vm {
		mu.Lock()
		defer mu.Unlock()
		return append([]*vm{}, vms...)
	}
	l := &load{fleet: f, balancer: newBalancer(f, list), key: key, stop: make(chan struct{}), served: make(map[string]int)}
	l.run("stream", 9, l.stream)
	l.run("generate", 3, l.generate)
	l.run("keyed", 2, l.charge)
	l.run("unkeyed", 2, l.unkeyed)
	for i, old := range f.vms {
		old.signal(t, syscall.SIGTERM)
		if err := old.awaitExit(t); err != nil {
			t.Errorf("%s ended with %v", old.id, err)
		}
		fresh := f.startVM(old.id, old.domain)
		f.register(fresh)
		await(t, fresh.id+" is ready", func() bool { return f.ready(fresh) })
		mu.Lock()
		vms[i] = fresh
		mu.Unlock()
	}
	close(l.stop)
	l.workers.Wait()
	t.Logf("calls: %v, failed: %d", l.served, len(l.failures))
	for _, problem := range l.failures[:min(len(l.failures), 10)] {
		t.Error(problem)
	}
	if l.served["stream"] < 2*len(f.vms) {
		t.Errorf("only %d streams ran", l.served["stream"])
	}
}

// shortStream reads a stream of some hundred tokens.
func (l *load) shortStream(v *vm, n int) string {
	return l.read(v, 400+n%100)
}
