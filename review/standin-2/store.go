package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the platform's store.
const (
	storeLatency = 4 * time.Millisecond
	maxEntries   = 100
	maxRowBytes  = 65536
	maxPageRows  = 500
	maxBlobBytes = 8 << 20
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store. It never fails by itself.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	feed    []row
	version int64
	blobs   map[string][]byte
	changed chan struct{}
	// onCommit, if set, is told of each transaction of the system that took effect.
	onCommit func(puts []row)
}

func newStore() *store {
	s := &store{started: time.Now().Add(-time.Minute), rows: map[rowKey]row{}, blobs: map[string][]byte{}, changed: make(chan struct{})}
	s.address = serve("127.0.0.1:0", s)
	return s
}

// serve starts an HTTP server and returns its address.
func serve(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// put writes a row for the operator or a server, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		cannotRun("row %s/%s: %v", table, key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked([]row{{Table: table, Key: key, Value: text}}, nil)
	return s.version
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(nil, []row{{Table: table, Key: key}})
}

func (s *store) applyLocked(puts, removes []row) {
	s.version++
	for _, p := range puts {
		p.Version = s.version
		s.rows[p.id()] = p
		s.feed = append(s.feed, p)
	}
	for _, r := range removes {
		delete(s.rows, r.id())
		s.feed = append(s.feed, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); name {
	case "rows-tx":
		s.commit(w, body)
	case "rows-get":
		s.read(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "rows-parts":
		s.parts(w, q.Get("table"), q.Get("after"))
	case "rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.follow(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "blob-put", "blob-get", "blob-drop", "blob-list":
		s.blob(w, r, name, rest, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, out map[string]any) {
	out["now_ms"] = s.nowMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
	var in struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, in.Puts...), in.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	current := []row{}
	holds := true
	for _, e := range in.Expected {
		now, ok := s.rows[e.id()]
		if ok {
			current = append(current, now)
		}
		holds = holds && now.Version == e.Version
	}
	if !holds {
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "record_version": s.version})
		return
	}
	s.applyLocked(in.Puts, in.Remove)
	version, told := s.version, s.onCommit
	s.mu.Unlock()
	if told != nil {
		told(in.Puts)
	}
	s.answer(w, http.StatusOK, map[string]any{"record_version": version})
}

func (s *store) read(w http.ResponseWriter, table, part, from, to, limit string) {
	max := maxPageRows
	if n, err := strconv.Atoi(limit); err == nil && n > 0 && n < max {
		max = n
	}
	s.mu.Lock()
	rows := []row{}
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more, size := false, 0
	for i, r := range rows {
		size += len(r.Value)
		if i >= max || size > 1<<20 && i > 0 {
			rows, more = rows[:i], true
			break
		}
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "more_pages": more, "record_version": version})
}

func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == table && k.Part > after {
			seen[k.Part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	more := len(parts) > 1000
	if more {
		parts = parts[:1000]
	}
	s.answer(w, http.StatusOK, map[string]any{"parts": parts, "more_pages": more, "record_version": version})
}

func (s *store) follow(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for _, change := range s.feed[sort.Search(len(s.feed), func(i int) bool { return s.feed[i].Version > after }):] {
			if change.Table == table {
				rows = append(rows, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > maxPageRows {
			// A transaction isn't split over two pages.
			n := maxPageRows
			for n < len(rows) && rows[n].Version == rows[n-1].Version {
				n++
			}
			rows = rows[:n]
			version = rows[n-1].Version
		}
		if len(rows) > 0 || wait <= 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "record_version": version})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request, call, name string, body []byte) {
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.blobs[name]
	switch call {
	case "blob-put":
		if ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
		} else if len(body) > maxBlobBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		} else {
			s.blobs[name] = body
		}
	case "blob-get":
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(old)
	case "blob-drop":
		delete(s.blobs, name)
	case "blob-list":
		names := []string{}
		for n := range s.blobs {
			if strings.HasPrefix(n, r.URL.Query().Get("prefix")) && n > r.URL.Query().Get("after") {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		_ = json.NewEncoder(w).Encode(map[string]any{"names": names, "more_pages": false, "now_ms": s.nowMS()})
	}
}
