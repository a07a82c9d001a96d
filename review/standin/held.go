package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	modelName   = "daka510000"
	lmService   = "huvo11a"
	engineSlots = 8
	loadTime    = 900 * time.Millisecond
)

// engine is the state of a model server beside its connections.
type engine struct {
	*server
	state    sync.Mutex // guards the fields below
	crashed  bool
	life     int
	born     int64
	running  map[string]bool
	version  int
	sequence int
	busy     bool
}

// itemLog is what servers saw of the items.
type itemLog struct {
	mu       sync.Mutex
	seen     map[string][]string
	lastAt   map[string]time.Time
	finished map[string]bool
}

func (l *itemLog) note(w *world, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAt[id] = time.Now()
	l.seen[id] = append(l.seen[id], fmt.Sprintf("%.3f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

func (l *itemLog) last(id string) (time.Time, bool, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAt[id], l.finished[id], slices.Clone(l.seen[id])
}

func (e *engine) entry() object {
	return object{
		"service": lmService, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []object{{"name": modelName, "version": e.version, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born,
	}
}

func (e *engine) list() {
	e.state.Lock()
	defer e.state.Unlock()
	if !e.crashed {
		e.w.store.put("servers", e.id, e.entry())
	}
}

// crash ends the engine's life for some time: its connections are reset. Then it starts again under a new ID. The
// entry of the life before is removed after three heartbeats of silence.
func (e *engine) crash(length time.Duration) {
	e.state.Lock()
	before := e.id
	e.crashed = true
	e.crashConnections()
	clear(e.running)
	e.state.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() { e.w.store.remove("servers", before) })
	time.AfterFunc(length, func() {
		e.state.Lock()
		e.life++
		e.id = fmt.Sprintf("i-%s-%d-life-%d", lmService, e.number, e.life)
		e.crashed, e.busy, e.sequence, e.born = false, false, 0, time.Now().UnixMilli()
		e.start()
		e.state.Unlock()
		e.list()
	})
}

func (e *engine) handle(log *itemLog, lengths func(id string) int, c *serverConn, r *http.Request, body []byte) bool {
	e.state.Lock()
	if e.crashed {
		e.state.Unlock()
		c.reset()
		return false
	}
	life := e.life
	fields := e.header(r)
	switch r.URL.Path {
	case "/report":
		runs := [][]any{}
		for id := range e.running {
			runs = append(runs, []any{id, 300, 1, 1})
		}
		text, _ := json.Marshal(object{
			"stage": "both", "models": []object{{"name": modelName, "version": e.version, "adapters": []string{}}}, "busy": e.busy, "sequence": e.sequence,
			"waiting": 0, "running": len(runs), "kv_cache_used": 300 * len(runs), "kv_cache_total": 28613, "handles": 0, "state": "ready", "runs": runs, "born": e.born,
		})
		e.state.Unlock()
		return c.answer(http.StatusOK, append(fields, "Content-Type: application/json"), text)
	case "/order":
		defer e.state.Unlock()
		var order struct {
			Version  int  `json:"version"`
			Expected *int `json:"expected"`
		}
		switch err := json.Unmarshal(body, &order); {
		case err != nil:
			return c.answer(http.StatusBadRequest, fields, nil)
		case order.Version <= e.version:
			return c.answer(http.StatusOK, fields, nil)
		case e.busy || order.Expected != nil && *order.Expected != e.sequence:
			return c.answer(http.StatusConflict, fields, nil)
		}
		e.busy = true
		e.sequence++
		time.AfterFunc(loadTime, func() {
			e.state.Lock()
			if e.life == life {
				e.busy, e.version = false, order.Version
			}
			e.state.Unlock()
			e.list()
		})
		return c.answer(http.StatusAccepted, fields, nil)
	}
	id := r.Header.Get("X-Dogwoodpond-Attempt-Id")
	if len(e.running) >= engineSlots || e.busy {
		e.state.Unlock()
		return c.answer(http.StatusServiceUnavailable, append(fields, "X-Dogwoodpond-Not-Executed: 1"), nil)
	}
	e.running[id] = true
	version := e.version
	e.state.Unlock()
	defer func() {
		e.state.Lock()
		if e.life == life {
			delete(e.running, id)
		}
		e.state.Unlock()
	}()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	log.note(e.w, id, "%s runs it from event %d", e.id, from+1)
	if !c.startChunked(http.StatusOK, append(fields, seal([]byte(id)), "Content-Type: text/event-stream", fmt.Sprintf("X-Dogwoodpond-Weight-Versions: %d", version))) {
		return false
	}
	for n := from + 1; n <= lengths(id); n++ {
		time.Sleep(60 * time.Millisecond)
		if !c.chunk(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)) {
			log.note(e.w, id, "its run ends before event %d", n)
			return false
		}
	}
	if !c.chunk("") {
		return false
	}
	log.note(e.w, id, "%s has finished it", e.id)
	log.mu.Lock()
	log.finished[id] = true
	log.mu.Unlock()
	return true
}

// caseHeld lets model servers crash while a step runs, and plays two steps: the items of the first one whose groups
// were not complete come again in the second, as trainers send them.
func caseHeld(w *world) int {
	const (
		engineCount        = 9
		groups, size, want = 17, 4, 16
		timeLimit          = 12 * time.Second
		waves              = 10
		crashing           = 2
		down               = 350 * time.Millisecond
		steady             = 5 * time.Second
	)
	log := &itemLog{seen: make(map[string][]string), lastAt: make(map[string]time.Time), finished: make(map[string]bool)}
	lengths := func(id string) int {
		n, _ := strconv.ParseUint(id[:4], 16, 64)
		return 40 + int(n%12)
	}
	var engines []*engine
	for n := range engineCount {
		e := &engine{running: make(map[string]bool), version: 1, born: time.Now().UnixMilli()}
		e.server = w.newServer(n, lmService, []string{"zone-a", "zone-b", "zone-c"}[n%3], engineSlots, func(_ *server, c *serverConn, r *http.Request, body []byte) bool {
			return e.handle(log, lengths, c, r, body)
		})
		engines = append(engines, e)
		go func() {
			for w.ctx.Err() == nil {
				e.list()
				time.Sleep(1200 * time.Millisecond)
			}
		}()
	}
	w.configure([]object{{
		"name": "r-rollout", "host": host, "prefix": "/pufi791/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
		"service": lmService, "attempts": 3, "queue_timeout_s": 40.0, "run_target_ms": 7500, "single_version": false, "anonymous": false, "sticky": true, "resumable": true,
	}}, []object{{
		"name": lmService, "health_path": "/health", "connection_limit": 150, "protocol": "h1", "tls": false,
		"engine": object{"slots": engineSlots, "kv_cache_tokens": 28613, "models": []object{{"name": modelName}}},
	}})
	w.startMachines(154, "zone-a", "zone-b", "zone-c")
	time.Sleep(5 * time.Second)

	call := func(method, path, id string, body []byte, fields ...string) outcome {
		conn, err := dialClient(w.machines[rand.IntN(len(w.machines))])
		if err != nil {
			return outcome{err: err}
		}
		defer func() { _ = conn.Close() }()
		return conn.do(method, path, id, 4*time.Second, body, fields...)
	}
	type item struct{ id, group string }
	var carried []item
	var lastCrash time.Time
	broken := 0
	for step := range 3 {
		items := slices.Clone(carried)
		for n := len(carried) / size; n < groups; n++ {
			for range size {
				items = append(items, item{newID(), fmt.Sprintf("g%d-%d", step, n)})
			}
		}
		var requests []object
		for _, it := range items {
			requests = append(requests, object{
				"id": it.id, "path": "/pufi791/3/" + it.id, "body": []byte("prompt of " + it.group), "tokens": 416, "group": it.group,
				"headers": object{"X-Dogwoodpond-Model": modelName, "X-Dogwoodpond-Token-Counts": "16,400", "X-Dogwoodpond-Prompt-Prefix": it.id[:6] + ":16"},
			})
		}
		text, _ := json.Marshal(object{"step": step, "model": modelName, "min_version": max(1, step), "desired": want, "requests": requests})
		lot := newID()
		started := time.Now()
		o := call(http.MethodPost, "/pufi791/"+lot, lot, text)
		w.logf("step %d, %s: %d items, %d of them of groups that were not complete before: status %d, %v", step, lot, len(items), len(carried), o.status, o.err)
		if o.status != http.StatusAccepted {
			w.cannotRun("the step isn't accepted")
		}
		if w.trouble && step == 0 {
			go func() {
				time.Sleep(300 * time.Millisecond)
				for range waves {
					for _, n := range rand.Perm(engineCount)[:crashing] {
						w.logf("%s crashes for %v", engines[n].id, down)
						engines[n].crash(down)
					}
					lastCrash = time.Now()
					time.Sleep(down)
				}
			}()
		}
		listed := make(map[string]bool)
		next, complete := 0, 0
		// The trainer waits for want complete groups, those that come again among them.
		done := false
		for !done && time.Since(started) < timeLimit {
			o := call(http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", lot, next), newID(), nil, "X-Dogwoodpond-Wait-Ms: 1000")
			var results struct {
				Next    int `json:"next"`
				Results []struct {
					ID    string `json:"id"`
					State string `json:"state"`
				} `json:"results"`
			}
			if o.err == nil && o.status == http.StatusOK && json.Unmarshal(o.body, &results) == nil {
				next = results.Next
				for _, result := range results.Results {
					listed[result.ID] = true
				}
			}
			left := make(map[string]int)
			for _, it := range items {
				if !listed[it.id] {
					left[it.group]++
				}
			}
			complete = groups - len(left)
			done = complete >= want && !slices.ContainsFunc(carried, func(it item) bool { return left[it.group] > 0 })
			time.Sleep(400 * time.Millisecond)
		}
		ended := time.Now()
		o = call(http.MethodDelete, "/lots/"+lot, newID(), nil)
		w.logf("step %d, %s: %d of %d groups are complete after %v, the trainer waits for %d of them and those that came again: %v; it ends the step: status %d", step, lot, complete, groups, ended.Sub(started).Round(time.Millisecond), want, done, o.status)
		carried = nil
		incomplete := make(map[string]bool)
		for _, it := range items {
			incomplete[it.group] = incomplete[it.group] || !listed[it.id]
		}
		for _, it := range items {
			if incomplete[it.group] && len(carried) < want/2*size {
				carried = append(carried, it)
			}
			at, finished, seen := log.last(it.id)
			if listed[it.id] || finished {
				continue
			}
			idle := ended.Sub(at)
			if at.Before(started) {
				idle = ended.Sub(started)
			}
			calm := ended.Sub(lastCrash) - down
			verdict := ""
			if !done && idle >= steady && calm >= 3*time.Second+steady {
				broken++
				verdict = "; breaks the rule"
			}
			w.logf("%s isn't listed, and was at no server in the last %v of its step, of which %v were without a disturbance: %q%s", it.id, idle.Round(time.Millisecond), min(idle, calm).Round(time.Millisecond), seen, verdict)
		}
		w.store.put("op", "version/"+modelName, object{"model": modelName, "version": step + 2})
		time.Sleep(500 * time.Millisecond)
	}
	w.logf("%d times an item was left at no server while its step ran out of time", broken)
	if broken > 0 {
		return 1
	}
	return 0
}
