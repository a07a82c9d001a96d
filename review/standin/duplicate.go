package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// caseDuplicate lets one of the two servers of a busy service send a second copy of some of its answers, late: in
// front of the next answer on the connection. It is the fault that the report lists beside the cases.
func caseDuplicate(w *world) int {
	const (
		slots     = 6
		queued    = 3
		timeLimit = 2 * time.Second
		// Two clients at each machine charge deposits. Other callers of the servers, which the system doesn't know,
		// fill each of them for some time.
		deposits           = 18
		minFull, maxFull   = 50 * time.Millisecond, 150 * time.Millisecond
		minBreak, maxBreak = 50 * time.Millisecond, 150 * time.Millisecond
		// garbleShare is the part of their answers that garbling servers send twice.
		garbleShare = 0.03
		length      = 75 * time.Second
		spell, rest = 6 * time.Second, 1 * time.Second
	)
	var garbling atomic.Bool
	var mu sync.Mutex
	runs := make(map[string][]string)
	log := make(map[string][]string)
	note := func(id, format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		log[id] = append(log[id], fmt.Sprintf("%.3f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
	}
	extra := make(map[*serverConn][]byte)
	handle := func(s *server, c *serverConn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Dogwoodpond-Attempt-Id")
		mu.Lock()
		copied := extra[c]
		delete(extra, c)
		mu.Unlock()
		if copied != nil {
			if _, err := c.Write(copied); err != nil {
				return false
			}
			note(id, "%s: the extra copy of the answer before is sent", s.id)
		}
		keep := true
		if s.held.Add(1) > slots+queued {
			note(id, "%s is full: 503, not executed", s.id)
			s.held.Add(-1)
			keep = c.answer(http.StatusServiceUnavailable, append(s.header(r), "X-Dogwoodpond-Not-Executed: 1"), nil)
		} else {
			s.places <- struct{}{}
			s.running.Add(1)
			mu.Lock()
			runs[id] = append(runs[id], s.id)
			mu.Unlock()
			note(id, "%s runs it", s.id)
			time.Sleep(15*time.Millisecond + rand.N(20*time.Millisecond))
			s.running.Add(-1)
			s.held.Add(-1)
			<-s.places
			text := []byte("done: " + r.URL.Path)
			keep = c.answer(http.StatusOK, append(s.header(r), seal(text)), text)
		}
		if garbling.Load() && s.number == 0 && rand.Float64() < garbleShare {
			mu.Lock()
			extra[c] = c.last
			mu.Unlock()
		}
		return keep
	}
	for n := range 2 {
		s := w.startServer(n, "wuno96b", []string{"zone-a", "zone-b", "zone-c"}[n%3], slots, handle)
		go func() {
			for w.ctx.Err() == nil {
				time.Sleep(minBreak + rand.N(maxBreak-minBreak))
				s.held.Add(slots + queued)
				time.Sleep(minFull + rand.N(maxFull-minFull))
				s.held.Add(-slots - queued)
			}
		}()
	}
	w.configure([]object{{
		"name": "r-deposits", "host": host, "prefix": "/lohu930/", "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
		"service": "wuno96b", "attempts": 3, "anonymous": false,
	}}, []object{{"name": "wuno96b", "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}})
	w.startMachines(154, "zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c")
	type attempt struct {
		id      string
		machine int
		outcome
	}
	var attempts []attempt
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for n := range deposits {
		wg.Go(func() {
			m, conn := n%len(w.machines), (*clientConn)(nil)
			for time.Now().Before(end) {
				if conn == nil {
					var err error
					if conn, err = dialClient(w.machines[m]); err != nil {
						conn = nil
						time.Sleep(time.Second)
						continue
					}
				}
				id := newID()
				o := conn.do(http.MethodPost, "/lohu930/"+id, id, timeLimit, []byte("plot 17"))
				mu.Lock()
				attempts = append(attempts, attempt{id: id, machine: m + 1, outcome: o})
				mu.Unlock()
				if o.err != nil || o.closes {
					_ = conn.Close()
					conn = nil
				}
				pause := rand.N(20 * time.Millisecond)
				if seconds, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64); err == nil && o.err == nil {
					pause += time.Duration(seconds * float64(time.Second))
				}
				time.Sleep(pause)
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(rest)
		garbling.Store(w.trouble)
		time.Sleep(spell)
		garbling.Store(false)
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	answered, refused, others, twice, falselyRefused := 0, 0, 0, 0, 0
	for _, a := range attempts {
		isRefused := a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
		verdict := ""
		switch ran := len(runs[a.id]); {
		case ran > 1:
			twice++
			verdict = fmt.Sprintf("; %q; breaks TWICE", log[a.id])
		case ran > 0 && isRefused:
			falselyRefused++
			verdict = fmt.Sprintf("; %q; breaks REFUSED", log[a.id])
		}
		switch {
		case isRefused:
			refused++
		case a.err == nil && a.status == http.StatusOK:
			answered++
		default:
			others++
		}
		w.logf("%s at machine %d: status %d, %v; ran %d times%s", a.id, a.machine, a.status, a.err, len(runs[a.id]), verdict)
	}
	w.logf("%d deposits were answered, %d refused, %d ended in another way; %d ran more than once, %d ran and were refused with 503 or 429", answered, refused, others, twice, falselyRefused)
	if twice+falselyRefused > 0 {
		return 1
	}
	return 0
}
