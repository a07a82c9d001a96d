package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"dogwoodpond/internal/rollout"
)

// Service stands in for a plain service such as a deposit desk. Every POST
// counts as one charge.
type Service struct {
	faults *faults

	mu     sync.Mutex
	counts Counts
}

// NewService returns a service that has seen nothing.
func NewService() *Service {
	return &Service{faults: newFaults(), counts: Counts{Runs: make(map[string]int64)}}
}

// ServiceAnswer is the body of every answer.
type ServiceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Charge numbers the POSTs that ran.
	Charge int64 `json:"charge"`
}

// Handler serves the service.
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
	if _, breaks := s.faults.take(r.URL.Path, FaultBreak); breaks {
		w.Header().Set("Content-Length", "4096")
		writeJSON(w, http.StatusOK, answer)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// score scores a sample by the length of its text. It is no charge.
func (s *Service) score(w http.ResponseWriter, r *http.Request) {
	var request rollout.ScoreRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Runs["score "+request.Step+"/"+request.Slot.Name()]++
	s.mu.Unlock()
	score := float64(len(request.Text))
	writeJSON(w, http.StatusOK, rollout.ScoreReply{Score: &score})
}

func (s *Service) count(r *http.Request, body string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if holdsKey(body) || holdsKey(fmt.Sprint(r.Header, r.URL, r.Trailer)) {
		s.counts.KeysSeen++
	}
	s.counts.Started++
	s.counts.Runs[r.Method+" "+r.URL.Path+" "+body]++
	if r.Method == http.MethodPost {
		s.counts.Completed++
	}
	return s.counts.Completed
}
