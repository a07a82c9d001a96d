package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseSigterm restarts one of three machines by SIGTERM, as a roll-out of the system does, while clients
// use the connections that they keep open to it.
func caseSigterm(w *world) int {
	const (
		clients   = 100
		workTime  = 900 * time.Millisecond
		timeLimit = 2 * time.Second
		grace     = 8 * time.Second
		// A client sends its next request after a pause that is shorter than four fifths of idle_timeout_ms.
		minPause, maxPause = 2 * time.Second, 10 * time.Second
	)
	var mu sync.Mutex
	begun := make(map[string]time.Time) // when a server began to work on a request
	work := func(s *server, c *serverConn, r *http.Request, body []byte) bool {
		mu.Lock()
		begun[r.Header.Get("X-Dogwoodpond-Attempt-Id")] = time.Now()
		mu.Unlock()
		s.running.Add(1)
		time.Sleep(workTime)
		s.running.Add(-1)
		text := []byte("slot of " + r.URL.Path)
		return c.answer(http.StatusOK, append(s.header(r), seal(text)), text)
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w.startServer(i, "wuno96b", zone, 24, work)
	}
	w.configure([]object{{
		"name": "r-slots", "host": host, "prefix": "/lohu930/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 1000, "priority": 2,
		"service": "wuno96b", "attempts": 2, "anonymous": false,
	}}, []object{{"name": "wuno96b", "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}})
	w.startMachines(154, "zone-a", "zone-b", "zone-c")

	restarted := w.machines[0]
	var termAt time.Time
	lost, answered, refused := 0, 0, 0
	end := time.Now().Add(34 * time.Second)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			m, conn := restarted, (*clientConn)(nil)
			time.Sleep(time.Duration(n) * 30 * time.Millisecond)
			for time.Now().Before(end) {
				if conn == nil {
					var err error
					// The platform sends new connections to machines in rotation only.
					if conn, err = dialClient(m); err != nil {
						conn = nil
						m = w.machines[1+rand.IntN(2)]
						continue
					}
				}
				id := newID()
				o := conn.do(http.MethodPost, "/lohu930/"+id, id, timeLimit, []byte("pick a slot"))
				mu.Lock()
				at, passedOn := begun[id]
				sinceTerm := o.sent.Sub(termAt)
				isAround := !termAt.IsZero() && m == restarted && sinceTerm > 0 && sinceTerm < grace+time.Second
				switch {
				case o.err == nil && o.status == http.StatusOK:
					answered++
					w.logf("%s at %s: status 200, run by a server: %v", id, m.name, passedOn)
				case o.err == nil:
					refused++
					w.logf("%s at %s: status %d, %v after SIGTERM", id, m.name, o.status, sinceTerm.Round(time.Millisecond))
				default:
					held := o.ended.Sub(o.sent)
					counted := isAround && passedOn && sinceTerm > 3*time.Second && held < timeLimit-50*time.Millisecond
					w.logf("%s at %s: no complete answer (%v); sent %v after SIGTERM, reached a server: %v (%v after it was sent), cut after %v, before its time limit of %v; breaks the rule: %v",
						id, m.name, o.err, sinceTerm.Round(time.Millisecond), passedOn, at.Sub(o.sent).Round(time.Millisecond), held.Round(time.Millisecond), timeLimit, counted)
					if counted {
						lost++
					}
				}
				mu.Unlock()
				if o.err != nil || o.closes {
					_ = conn.Close()
					conn = nil
					if !termAt.IsZero() {
						m = w.machines[1+rand.IntN(2)]
					}
				}
				time.Sleep(minPause + rand.N(maxPause-minPause))
			}
		})
	}
	time.Sleep(14 * time.Second)
	if w.trouble {
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		w.signal(restarted, syscall.SIGTERM)
		select {
		case <-restarted.exited:
			w.logf("the process ended %v after SIGTERM", time.Since(termAt).Round(time.Millisecond))
		case <-time.After(grace):
			w.signal(restarted, syscall.SIGKILL)
			<-restarted.exited
		}
		w.startProcess(restarted, 154, false)
	}
	wg.Wait()
	w.logf("%d requests were answered, %d refused, %d passed on to a server and then cut without an answer", answered, refused, lost)
	if lost > 0 {
		return 1
	}
	return 0
}
