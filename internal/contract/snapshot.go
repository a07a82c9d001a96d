package contract

import (
	"crypto/sha256"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// EditKind is the kind of change that an edit makes.
type EditKind string

// The kinds of edits.
const (
	EditContract EditKind = "contract"
	EditGrant    EditKind = "grant"
	EditWithdraw EditKind = "withdraw"
)

// Entry is one accepted edit in the configuration log.
type Entry struct {
	Revision Revision `json:"revision"`
	// EditID identifies the edit, so that a retry of it returns the first answer.
	EditID string   `json:"editId"`
	Kind   EditKind `json:"kind"`
	// Who names the operator and When is the wall time of the edit; both are for audits.
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	// Contract is set for EditContract.
	Contract *Contract `json:"contract,omitempty"`
	// Key is set for EditGrant and EditWithdraw.
	Key *Key `json:"key,omitempty"`
}

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	Revision  Revision             `json:"revision"`
	Contracts map[Account]Contract `json:"contracts"`
	Keys      map[string]Key       `json:"keys"`
}

// EmptySnapshot returns the snapshot at revision 0, before the first edit.
func EmptySnapshot() *Snapshot {
	return &Snapshot{Contracts: map[Account]Contract{}, Keys: map[string]Key{}}
}

// Apply returns the snapshot after the entry's edit. It fails with *fault.RevisionGap unless
// the entry has the next revision: entries that are applied out of order could put an older
// contract in force again.
func (s *Snapshot) Apply(e Entry) (*Snapshot, error) {
	if e.Revision != s.Revision+1 {
		return nil, errors.WithStack(&fault.RevisionGap{Have: uint64(s.Revision), Got: uint64(e.Revision)})
	}
	next := &Snapshot{Revision: e.Revision, Contracts: s.Contracts, Keys: s.Keys}
	if e.Contract != nil {
		next.Contracts = maps.Clone(s.Contracts)
		next.Contracts[e.Contract.Account] = *e.Contract
	}
	if e.Key != nil {
		next.Keys = maps.Clone(s.Keys)
		next.Keys[e.Key.ID] = *e.Key
	}
	return next, nil
}

// Authenticate returns the key and contract for a presented key. It fails with
// *fault.KeyInvalid, *fault.KeyWithdrawn or *fault.AccountUnknown.
func (s *Snapshot) Authenticate(p PresentedKey) (Key, Contract, error) {
	key, known := s.candidate(p.ID)
	if !key.Matches(p.Secret) || !known {
		return Key{}, Contract{}, errors.WithStack(&fault.KeyInvalid{})
	}
	if key.Withdrawn {
		return Key{}, Contract{}, errors.WithStack(&fault.KeyWithdrawn{KeyID: key.ID})
	}
	c, ok := s.Contracts[key.Account]
	if !ok {
		return Key{}, Contract{}, errors.WithStack(&fault.AccountUnknown{Account: string(key.Account)})
	}
	return key, c, nil
}

// unknownHash is used as the hash of a key that does not exist. No secret with this hash is
// known.
var unknownHash = strings.Repeat("0", sha256.Size*2)

// candidate returns the key that a presented key with the ID is compared with. For an
// unknown ID it returns a key that matches no secret. Its hash has the full length, since
// otherwise the comparison would end early and the response time would reveal which IDs
// exist.
func (s *Snapshot) candidate(id string) (key Key, known bool) {
	key, known = s.Keys[id]
	if !known {
		key.SecretSHA256 = unknownHash
	}
	return key, known
}

// View holds the snapshot in force. It can be read and advanced concurrently without a lock.
type View struct {
	current atomic.Pointer[Snapshot]
}

// NewView returns a view of the empty snapshot.
func NewView() *View {
	v := &View{}
	v.current.Store(EmptySnapshot())
	return v
}

// Load returns the snapshot in force.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Advance puts next in force if it is newer than the snapshot in force, and reports whether
// it did. The comparison keeps concurrent updaters from reverting the configuration.
func (v *View) Advance(next *Snapshot) bool {
	for {
		now := v.current.Load()
		if next.Revision <= now.Revision {
			return false
		}
		if v.current.CompareAndSwap(now, next) {
			return true
		}
	}
}
