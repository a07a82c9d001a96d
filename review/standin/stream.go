package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// caseStream lets one of seven servers crash under its streams while another one fails part of its requests with
// status 500 and its health answers are good.
func caseStream(w *world) int {
	const (
		events, gap = 20, 50 * time.Millisecond
		timeLimit   = 12 * time.Second
		clients     = 100
		servers     = 7
		rounds      = 6
		rest        = 4 * time.Second
		// greyShare is the part of its requests that the grey server fails, and greyFor how long; downFor is how
		// long the other server is down.
		greyShare        = 0.4
		greyFor, downFor = 5 * time.Second, 4 * time.Second
	)
	// grey is the number of the server that fails requests; -1 for none.
	var grey atomic.Int64
	grey.Store(-1)
	var mu sync.Mutex
	runs := make(map[string][]string) // what servers did for a request
	note := func(id, format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = append(runs[id], fmt.Sprintf(format, args...))
	}
	stream := func(s *server, c *serverConn, r *http.Request, body []byte) bool {
		id, from := r.Header.Get("X-Dogwoodpond-Attempt-Id"), 0
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			from = last
		}
		s.running.Add(1)
		defer s.running.Add(-1)
		if int(grey.Load()) == s.number && rand.Float64() < greyShare {
			note(id, "%s answered 500 to the run from event %d", s.id, from+1)
			return c.answer(http.StatusInternalServerError, append(s.header(r), seal(nil)), nil)
		}
		fields := append(s.header(r), seal([]byte(id)), "Content-Type: text/event-stream", "X-Dogwoodpond-Weight-Versions: 1")
		if !c.startChunked(http.StatusOK, fields) {
			return false
		}
		for n := from + 1; n <= events; n++ {
			time.Sleep(gap)
			if !c.chunk(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)) {
				note(id, "%s: the connection ended before event %d", s.id, n)
				return false
			}
		}
		note(id, "%s sent the events %d to %d and the end", s.id, from+1, events)
		return c.chunk("")
	}
	var all []*server
	for n := range servers {
		all = append(all, w.startServer(n, "wuno96b", []string{"zone-a", "zone-b", "zone-c"}[n%3], 24, stream))
	}
	w.configure([]object{{
		"name": "r-drafts", "host": host, "prefix": "/pufi791/", "kind": "stream", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
		"service": "wuno96b", "attempts": 3, "anonymous": false, "resumable": true,
	}}, []object{{"name": "wuno96b", "health_path": "/health", "connection_limit": 150, "protocol": "h1", "tls": false}})
	w.startMachines(154, "zone-a", "zone-b", "zone-c")

	var complete, broken, cut atomic.Int64
	end := time.Now().Add(rounds*(greyFor+rest) + rest)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			m := w.machines[n%len(w.machines)]
			for time.Now().Before(end) {
				conn, err := dialClient(m)
				if err != nil {
					w.logf("%s: %v", m.name, err)
					time.Sleep(time.Second)
					continue
				}
				id := newID()
				o := conn.do(http.MethodPost, "/pufi791/"+id, id, timeLimit, []byte("draft a reply"))
				_ = conn.Close()
				pieces := bytes.Count(o.body, []byte("data: "))
				last := bytes.Contains(o.body, fmt.Appendf(nil, "id: %d\n", events))
				mu.Lock()
				ran := runs[id]
				delete(runs, id)
				mu.Unlock()
				switch {
				case o.err == nil && o.status == http.StatusOK && last && pieces == events:
					complete.Add(1)
					w.logf("%s at %s: status 200, %d pieces; servers: %q", id, m.name, pieces, ran)
				case o.err == nil && o.status == http.StatusOK:
					broken.Add(1)
					w.logf("%s at %s: status 200 and the end of the answer after %d of %d pieces, %v after it was sent; servers: %q; breaks the rule", id, m.name, pieces, events, o.ended.Sub(o.sent).Round(time.Millisecond), ran)
				default:
					cut.Add(1)
					w.logf("%s at %s: status %d, %v after %d pieces; servers: %q", id, m.name, o.status, o.err, pieces, ran)
				}
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		})
	}
	for round := range rounds {
		time.Sleep(rest)
		if !w.trouble {
			time.Sleep(greyFor)
			continue
		}
		failing, crashing := (round+3)%servers, all[round%servers]
		w.logf("%s fails %.0f of 100 of its requests for %v", all[failing].id, 100*greyShare, greyFor)
		grey.Store(int64(failing))
		time.Sleep(greyFor - downFor)
		w.logf("%s crashes and is back in %v", crashing.id, downFor)
		crashing.crashConnections()
		time.Sleep(downFor)
		crashing.start()
		grey.Store(-1)
	}
	wg.Wait()
	w.logf("%d streams were complete, %d ended as complete before their last piece, %d ended in another way", complete.Load(), broken.Load(), cut.Load())
	if broken.Load() > 0 {
		return 1
	}
	return 0
}
