package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"dogwoodpond/internal/rollout"
)

// Service is a stand-in for a plain service, for example one that charges
// deposits. Every POST that it executes counts as one charge, except score calls.
type Service struct {
	faults *faults

	mu     sync.Mutex
	counts Counts
}

// NewService returns a service that has executed no calls.
func NewService() *Service {
	return &Service{faults: newFaults(), counts: Counts{Executions: make(map[string]int64)}}
}

// ServiceAnswer is the body of every answer except to score calls.
type ServiceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Charge is the number of POSTs executed so far, which identifies a charge.
	Charge int64 `json:"charge"`
}

// Handler returns the handler of the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, s.counts)
	})
	mux.HandleFunc("POST "+rollout.PathScore, s.score)
	mux.HandleFunc("/", s.serve)
	return s.faults.wrap(mux)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := ServiceAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body), Charge: s.count(r, string(body))}
	if _, truncates := s.faults.consume(r.URL.Path, FaultTruncate); truncates {
		w.Header().Set("Content-Length", "4096")
		writeJSON(w, http.StatusOK, answer)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// score answers a score call with the length of the text as score. It doesn't
// count as a charge.
func (s *Service) score(w http.ResponseWriter, r *http.Request) {
	var request rollout.ScoreRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Executions["score "+request.Step+"/"+request.Slot.Name()]++
	s.mu.Unlock()
	score := float64(len(request.Text))
	writeJSON(w, http.StatusOK, rollout.ScoreReply{Score: &score})
}

func (s *Service) count(r *http.Request, body string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if containsKey(body) || containsKey(fmt.Sprint(r.Header, r.URL, r.Trailer)) {
		s.counts.KeysSeen++
	}
	s.counts.Started++
	s.counts.Executions[r.Method+" "+r.URL.Path+" "+body]++
	if r.Method == http.MethodPost {
		s.counts.Completed++
	}
	return s.counts.Completed
}
