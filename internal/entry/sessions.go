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

// shards is the number of shards of sessions. Sharding makes requests with
// different keys rarely contend for the same lock.
const shards = 64

// sessions holds the running requests of each key, so that they can be
// cancelled when the key is withdrawn.
type sessions struct {
	shards [shards]sessionShard
}

// sessionShard holds the sessions of the keys that hash to it.
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

// begin starts a session and returns its context, which is cancelled when the
// key is withdrawn. The caller must call end when the request has ended.
func (s *sessions) begin(parent context.Context, keyID string) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	sess := &session{cancel: cancel}
	shard := s.shard(keyID)
	shard.add(keyID, sess)
	return ctx, func() {
		shard.remove(keyID, sess)
		cancel(nil)
	}
}

func (s *sessionShard) add(keyID string, sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[keyID] == nil {
		s.running[keyID] = make(map[*session]struct{})
	}
	s.running[keyID][sess] = struct{}{}
}

func (s *sessionShard) remove(keyID string, sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[keyID], sess)
	if len(s.running[keyID]) == 0 {
		delete(s.running, keyID)
	}
}

// cancelWithdrawn cancels the sessions of withdrawn keys and returns the number
// of cancelled sessions by key ID.
func (s *sessionShard) cancelWithdrawn(snapshot *contract.Snapshot) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := make(map[string]int)
	for keyID, running := range s.running {
		if !snapshot.Keys[keyID].Withdrawn {
			continue
		}
		for sess := range running {
			sess.cancel(errors.WithStack(&fault.KeyWithdrawn{KeyID: keyID}))
		}
		cancelled[keyID] = len(running)
	}
	return cancelled
}

// CancelWithdrawnKeys cancels the running requests of all keys that are withdrawn in the
// snapshot.
func (s *Server) CancelWithdrawnKeys(snapshot *contract.Snapshot) {
	for i := range s.sessions.shards {
		for keyID, count := range s.sessions.shards[i].cancelWithdrawn(snapshot) {
			s.Events.Emit(event.KeyWithdrawn, event.Subject{Detail: keyID, Count: int64(count)})
		}
	}
}
