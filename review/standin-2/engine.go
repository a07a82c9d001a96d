package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of a model server: it runs items as streams of numbered events.
type engine struct {
	id, zone, service, address string
	slots                      int
	models                     []string
	eventGap                   time.Duration
	events                     int
	pieceBytes                 int
	f                          *fleet

	mu       sync.Mutex
	versions map[string]int64
	sequence int64
	running  int
	// served has the number of runs of each request, failed the number of answers 422 or 500.
	served map[string]int
	// stays has, for each request, what is known of it here.
	stays map[string]stay
	// loads has the number of running requests at each change.
	loads []load
	born  int64
}

// stay is a request's stay at a server.
type stay struct {
	begun, running, finished bool
	left                     time.Time
}

type load struct {
	at      time.Time
	running int
	begin   bool
}

func (f *fleet) addEngine(id, zone, service string, models []string) *engine {
	e := &engine{id: id, zone: zone, service: service, slots: 12, models: models, eventGap: 15 * time.Millisecond, events: 15, pieceBytes: 20, f: f,
		versions: map[string]int64{}, served: map[string]int{}, stays: map[string]stay{}, born: time.Now().UnixMilli()}
	for _, m := range models {
		e.versions[m] = 1
	}
	e.address = serve("127.0.0.1:0", e)
	f.engines = append(f.engines, e)
	go func() {
		for {
			e.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	e.beat()
	return e
}

func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return list
}

func (e *engine) beat() {
	e.mu.Lock()
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": e.modelList(), "sequence": e.sequence, "born": e.born}
	e.mu.Unlock()
	e.f.store.put("servers", e.id, entry)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Dogwoodpond-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Dogwoodpond-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		runs := []any{}
		for id, s := range e.stays {
			if s.running {
				runs = append(runs, []any{id, 271, 0, 1})
			}
		}
		out := map[string]any{"stage": "both", "models": e.modelList(), "busy": false, "sequence": e.sequence, "waiting": 0, "running": e.running,
			"kv_cache_used": 0, "kv_cache_total": 40458, "handles": 0, "born": e.born,
			"pinned": 0, "held": 0, "next": 0, "runs": runs}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	case "/order":
		e.order(w, r)
	case "/health":
		w.Header().Set("X-Dogwoodpond-Instance-Id", e.id)
	case "/kv-events", "/kv-list":
		w.WriteHeader(http.StatusNotFound)
	default:
		e.run(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.versions[in.Model] == in.Version:
		w.WriteHeader(http.StatusOK)
	case in.Expected != nil && *in.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		e.sequence++
		e.versions[in.Model] = in.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

func pieceOf(item string, n, size int) string {
	text := fmt.Sprintf("%s.%d.", item, n)
	for len(text) < size {
		text += "x"
	}
	return text
}

// wholeText returns the text of an item that ran to its end.
func wholeText(item string, events, size int) string {
	text := ""
	for n := 1; n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += pieceOf(item, n, size)
	}
	return text
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, model := r.Header.Get("X-Dogwoodpond-Attempt-Id"), r.Header.Get("X-Dogwoodpond-Model")
	w.Header().Set("X-Dogwoodpond-Attempt-Id", id)
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
		e.served[id]++
		e.stays[id] = stay{begun: true, running: true}
		e.loads = append(e.loads, load{time.Now(), e.running, true})
	}
	version, events, gap := e.versions[model], e.events, e.eventGap
	w.Header().Set("X-Dogwoodpond-Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.mu.Unlock()
	if full {
		w.Header().Set("X-Dogwoodpond-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	finished := false
	defer func() {
		e.mu.Lock()
		e.running--
		e.stays[id] = stay{begun: true, finished: finished, left: time.Now()}
		e.loads = append(e.loads, load{time.Now(), e.running, false})
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	record("server %s runs %s %s, after event %d", e.id, id, r.URL.Path, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Dogwoodpond-Response-Seal", "seal-"+id)
	w.Header().Set("X-Dogwoodpond-Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	for n := after + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, pieceOf(id, n, e.pieceBytes))
		flusher.Flush()
	}
	finished = true
}

// at returns what is known of a request at all servers.
func (f *fleet) at(id string) stay {
	var all stay
	for _, e := range f.engines {
		e.mu.Lock()
		s := e.stays[id]
		e.mu.Unlock()
		all.begun, all.running, all.finished = all.begun || s.begun, all.running || s.running, all.finished || s.finished
		if s.left.After(all.left) {
			all.left = s.left
		}
	}
	return all
}

// mostRunning returns a bound of the requests that ran at the same time since a moment.
func (f *fleet) mostRunning(since time.Time) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		before, most := 0, 0
		for _, l := range e.loads {
			if l.at.Before(since) {
				before = l.running
			} else {
				most = max(most, l.running)
			}
		}
		n += max(before, most)
		e.mu.Unlock()
	}
	return n
}

// begunSince returns how many requests began to run since a moment.
func (f *fleet) begunSince(since time.Time) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		for _, l := range e.loads {
			if l.begin && l.at.After(since) {
				n++
			}
		}
		e.mu.Unlock()
	}
	return n
}

// runsOf returns how often a request began to run at any server.
func (f *fleet) runsOf(id string) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.served[id]
		e.mu.Unlock()
	}
	return n
}
