package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey is the key of a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store on the wire.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// page is an answer of the store.
type page struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"more_pages"`
	Version int64    `json:"record_version"`
	NowMS   int64    `json:"now_ms"`
}

// store is a sound stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	blobs   map[string][]byte
	version int64
	changed chan struct{}
	started time.Time
	// fail, if set, may answer a call in another way; it reports whether it did.
	fail func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), blobs: make(map[string][]byte), changed: make(chan struct{}), started: time.Now()}
}

func (s *store) nowMS() int64 { return 50_000 + time.Since(s.started).Milliseconds() }

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = row{rowKey: k, Value: text, Version: s.version}
	s.notifyLocked()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = row{rowKey: k, Version: s.version, Deleted: true}
	s.notifyLocked()
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fail != nil && s.fail(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	path := r.URL.Path
	switch {
	case path == "/rows-tx":
		s.transact(w, r)
	case path == "/rows-get":
		s.read(w, r)
	case path == "/rows-parts":
		s.parts(w, r)
	case path == "/rows-feed":
		s.feed(w, r)
	case strings.HasPrefix(path, "/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []row    `json:"expected"`
		Puts     []row    `json:"puts"`
		Removes  []rowKey `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := page{Rows: []row{}, NowMS: s.nowMS(), Version: s.version}
	holds := true
	for _, e := range txn.Expected {
		known, ok := s.rows[e.rowKey]
		ok = ok && !known.Deleted
		if ok {
			current.Rows = append(current.Rows, known)
		}
		if ok && known.Version != e.Version || !ok && e.Version != 0 {
			holds = false
		}
	}
	if !holds {
		answerJSON(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, p := range txn.Puts {
		s.rows[p.rowKey] = row{rowKey: p.rowKey, Value: p.Value, Version: s.version}
	}
	for _, k := range txn.Removes {
		if _, ok := s.rows[k]; ok {
			s.rows[k] = row{rowKey: k, Version: s.version, Deleted: true}
		}
	}
	s.notifyLocked()
	answerJSON(w, http.StatusOK, page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()})
}

// maxPageRows and maxPageBytes bound a page of rows.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, known := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && !known.Deleted && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	out := page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
	size := 0
	for _, known := range rows {
		size += len(known.Value)
		if len(out.Rows) == limit || size > maxPageBytes && len(out.Rows) > 0 {
			out.More = true
			break
		}
		out.Rows = append(out.Rows, known)
	}
	answerJSON(w, http.StatusOK, out)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k, known := range s.rows {
		if k.Table == q.Get("table") && !known.Deleted && k.Part > q.Get("after") && !slices.Contains(names, k.Part) {
			names = append(names, k.Part)
		}
	}
	slices.Sort(names)
	out := page{Parts: names, Version: s.version, NowMS: s.nowMS()}
	if len(names) > 1000 {
		out.Parts, out.More = names[:1000], true
	}
	answerJSON(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for k, known := range s.rows {
			if k.Table == q.Get("table") && known.Version > after {
				rows = append(rows, known)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
		out := page{Rows: rows, Version: s.version, NowMS: s.nowMS()}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answerJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			out.Rows = []row{}
			answerJSON(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.blobs[name]
	switch {
	case verb == "blob-put" && ok && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case verb == "blob-put":
		s.blobs[name] = body
	case verb == "blob-get" && ok:
		_, _ = w.Write(known)
	case verb == "blob-drop":
		delete(s.blobs, name)
	case verb == "blob-get":
		w.WriteHeader(http.StatusNotFound)
	}
}
