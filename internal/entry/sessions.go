package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// sessions knows the running requests of each key, so that a withdrawal can
// cancel them.
type sessions struct {
	mu      sync.Mutex
	next    uint64
	running map[string]map[uint64]context.CancelCauseFunc
}

func newSessions() *sessions {
	return &sessions{running: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// begin returns a context that a withdrawal of the key cancels. end must be
// called when the request has ended.
func (s *sessions) begin(parent context.Context, keyID string) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	if s.running[keyID] == nil {
		s.running[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	s.running[keyID][id] = cancel
	return ctx, func() { s.end(keyID, id) }
}

func (s *sessions) end(keyID string, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[keyID][id](nil)
	delete(s.running[keyID], id)
	if len(s.running[keyID]) == 0 {
		delete(s.running, keyID)
	}
}

// cancelKey cancels the running requests of a key and returns how many.
func (s *sessions) cancelKey(keyID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.running[keyID] {
		cancel(errors.WithStack(&fault.KeyWithdrawn{KeyID: keyID}))
	}
	return len(s.running[keyID])
}

func (s *sessions) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(s.running))
	for k := range s.running {
		keys = append(keys, k)
	}
	return keys
}

// Revoke cancels the running requests of every key that the snapshot withdraws.
func (s *Server) Revoke(snapshot *contract.Snapshot) {
	for _, id := range s.sessions.keys() {
		if !snapshot.Keys[id].Withdrawn {
			continue
		}
		n := s.sessions.cancelKey(id)
		s.Events.Emit(event.KeyWithdrawn, event.Subject{Detail: id, Count: int64(n)})
	}
}
