package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
)

// revisionParameter parses a revision; an empty text is revision 0.
func revisionParameter(text string) (contract.Revision, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.WithStack(&fault.BadRequest{Field: "revision", Problem: "must be a number"})
	}
	return contract.Revision(n), nil
}

func (s *Server) putContract(r *restful.Request) (any, error) {
	edit, err := newEdit(r, contract.EditContract)
	if err != nil {
		return nil, err
	}
	changed := contract.DefaultContract(contract.Account(r.PathParameter("account")))
	if err := decodeBody(r, &changed); err != nil {
		return nil, err
	}
	if string(changed.Account) != r.PathParameter("account") {
		return nil, errors.WithStack(&fault.BadRequest{Field: "account", Problem: "must match the path"})
	}
	edit.Contract = &changed
	return s.apply(r.Request.Context(), edit)
}

// KeyGrant is the body of a request that grants a key. It contains only the hash of the
// secret; the secret never leaves the operator's tool.
type KeyGrant struct {
	Account      contract.Account `json:"account"`
	SecretSHA256 string           `json:"secretSha256"`
}

func (s *Server) grantKey(r *restful.Request) (any, error) {
	edit, err := newEdit(r, contract.EditGrant)
	if err != nil {
		return nil, err
	}
	var grant KeyGrant
	if err := decodeBody(r, &grant); err != nil {
		return nil, err
	}
	edit.Key = &contract.Key{ID: r.PathParameter("id"), Account: grant.Account, SecretSHA256: grant.SecretSHA256}
	return s.apply(r.Request.Context(), edit)
}

// maxWithdrawAttempts limits the attempts of a withdrawal that conflicts with concurrent
// edits of the same key.
const maxWithdrawAttempts = 16

// withdrawKey withdraws a key. On a conflict with a concurrent edit of the same key it
// reads the key again and retries: if the conflict were returned instead, a key that the
// operator believes to be withdrawn would remain valid. All attempts have the same edit
// ID, so that the withdrawal is accepted at most once.
func (s *Server) withdrawKey(r *restful.Request) (any, error) {
	edit, err := newEdit(r, contract.EditWithdraw)
	if err != nil {
		return nil, err
	}
	var conflict error
	for range maxWithdrawAttempts {
		answer, err := s.tryWithdraw(r.Request.Context(), edit, r.PathParameter("id"))
		if err == nil {
			return answer, nil
		}
		if !fault.Is[*fault.EditConflict](err) {
			return nil, err
		}
		conflict = err
	}
	return nil, conflict
}

func (s *Server) tryWithdraw(ctx context.Context, edit contract.Edit, id string) (EditAnswer, error) {
	subject, err := s.Editor.Subject(ctx, "key/"+id)
	if err != nil {
		return EditAnswer{}, err
	}
	if subject.Key == nil {
		return EditAnswer{}, errors.WithStack(&fault.KeyUnknown{KeyID: id})
	}
	answer, err := s.withdraw(ctx, edit, subject)
	if err != nil {
		return EditAnswer{}, err
	}
	answer.ServeSeconds = s.View.Load().Contracts[subject.Key.Account].Isolation.ServeSeconds
	return answer, nil
}

// withdraw commits the withdrawal of a key. For a key that is already withdrawn it
// returns the entry of that withdrawal: a second entry would show an edit without effect
// in the history.
func (s *Server) withdraw(ctx context.Context, edit contract.Edit, subject contract.Subject) (EditAnswer, error) {
	if subject.Key.Withdrawn {
		entries, err := s.Editor.History(ctx, subject.Revision-1, 1)
		if err != nil {
			return EditAnswer{}, err
		}
		if len(entries) == 1 && entries[0].Revision == subject.Revision {
			return s.awaitConfirmation(ctx, entries[0]), nil
		}
	}
	withdrawn := *subject.Key
	withdrawn.Withdrawn = true
	edit.Key = &withdrawn
	edit.Base = subject.Revision
	return s.apply(ctx, edit)
}

// apply commits an edit and returns on which VMs it is in force.
func (s *Server) apply(ctx context.Context, edit contract.Edit) (EditAnswer, error) {
	entry, err := s.Editor.Apply(ctx, edit)
	if err != nil {
		return EditAnswer{}, err
	}
	s.ApplyNewest()
	return s.awaitConfirmation(ctx, entry), nil
}

// awaitConfirmation waits until an entry is in force on all VMs, at most for
// confirmTimeout, and returns the VMs on which it is in force by then.
func (s *Server) awaitConfirmation(ctx context.Context, entry contract.Entry) EditAnswer {
	answer := EditAnswer{Entry: withoutHash(entry)}
	deadline := time.Now().Add(confirmTimeout)
	for {
		answer.Confirmation = confirmationOf(s.Fleet.Revisions(), entry.Revision)
		if len(answer.Pending) == 0 || time.Now().After(deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(confirmPollInterval):
		}
	}
}

// withoutHash returns the entry without the hash of a key's secret, which must not appear
// in answers.
func withoutHash(entry contract.Entry) contract.Entry {
	if entry.Key == nil {
		return entry
	}
	shown := *entry.Key
	shown.SecretSHA256 = ""
	entry.Key = &shown
	return entry
}
