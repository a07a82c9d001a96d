package entry

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// shards spread the sessions, so that requests of different keys seldom wait
// for the same lock.
const shards = 64

// sessions knows the running requests of each key, so that a withdrawal can
// cancel them.
type sessions struct {
	shards [shards]sessionShard
}

// sessionShard holds the sessions of some of the keys.
type sessionShard struct {
	mu      sync.Mutex
	running map[string]map[*session]struct{}
}

// session is one running request.
type session struct {
	cancel context.CancelCauseFunc
}

func newSessions() *sessions {
	s := &sessions{}
	for i := range s.shards {
		s.shards[i].running = make(map[string]map[*session]struct{})
	}
	return s
}

func (s *sessions) shard(keyID string) *sessionShard {
	return &s.shards[xxhash.Sum64String(keyID)%shards]
}

// begin returns a context that a withdrawal of the key cancels. end must be
// called when the request has ended.
func (s *sessions) begin(parent context.Context, keyID string) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	one := &session{cancel: cancel}
	shard := s.shard(keyID)
	shard.add(keyID, one)
	return ctx, func() {
		shard.remove(keyID, one)
		cancel(nil)
	}
}

func (s *sessionShard) add(keyID string, one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[keyID] == nil {
		s.running[keyID] = make(map[*session]struct{})
	}
	s.running[keyID][one] = struct{}{}
}

func (s *sessionShard) remove(keyID string, one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[keyID], one)
	if len(s.running[keyID]) == 0 {
		delete(s.running, keyID)
	}
}

// cancelWithdrawn cancels the sessions of withdrawn keys and returns how many
// each of them had.
func (s *sessionShard) cancelWithdrawn(snapshot *contract.Snapshot) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := make(map[string]int)
	for keyID, running := range s.running {
		if !snapshot.Keys[keyID].Withdrawn {
			continue
		}
		for one := range running {
			one.cancel(errors.WithStack(&fault.KeyWithdrawn{KeyID: keyID}))
		}
		cancelled[keyID] = len(running)
	}
	return cancelled
}

// Revoke cancels the running requests of every key that the snapshot withdraws.
func (s *Server) Revoke(snapshot *contract.Snapshot) {
	for i := range s.sessions.shards {
		for keyID, count := range s.sessions.shards[i].cancelWithdrawn(snapshot) {
			s.Events.Emit(event.KeyWithdrawn, event.Subject{Detail: keyID, Count: int64(count)})
		}
	}
}
