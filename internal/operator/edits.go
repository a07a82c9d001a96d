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

// revisionParameter reads a revision; an absent one is 0.
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
	edit, err := editOf(r, contract.EditContract)
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

// KeyGrant is the body of a grant. The secret stays with the operator's tool;
// only its hash comes here.
type KeyGrant struct {
	Account      contract.Account `json:"account"`
	SecretSHA256 string           `json:"secretSha256"`
}

func (s *Server) grantKey(r *restful.Request) (any, error) {
	edit, err := editOf(r, contract.EditGrant)
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

// withdrawTries bounds how often a withdrawal is tried again when other edits of
// the same key win.
const withdrawTries = 16

// withdrawKey withdraws a key. The withdrawal must win against a racing edit of
// the same key: it would otherwise be refused as a conflict, and a key that an
// operator believes withdrawn would go on working. So it reads the key again
// and repeats itself; with the same edit ID, so that it is accepted once.
func (s *Server) withdrawKey(r *restful.Request) (any, error) {
	edit, err := editOf(r, contract.EditWithdraw)
	if err != nil {
		return nil, err
	}
	var last error
	for range withdrawTries {
		answer, err := s.tryWithdraw(r.Request.Context(), edit, r.PathParameter("id"))
		if err == nil {
			return answer, nil
		}
		if !fault.Is[*fault.EditConflict](err) {
			return nil, err
		}
		last = err
	}
	return nil, last
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

// withdraw commits the withdrawal of a key. A key that is withdrawn already is
// answered with that withdrawal: a second entry would tell a board of a
// decision that changed nothing.
func (s *Server) withdraw(ctx context.Context, edit contract.Edit, subject contract.Subject) (EditAnswer, error) {
	if subject.Key.Withdrawn {
		entries, err := s.Editor.History(ctx, subject.Revision-1, 1)
		if err != nil {
			return EditAnswer{}, err
		}
		if len(entries) == 1 && entries[0].Revision == subject.Revision {
			return s.confirmed(ctx, entries[0]), nil
		}
	}
	withdrawn := *subject.Key
	withdrawn.Withdrawn = true
	edit.Key = &withdrawn
	edit.Base = subject.Revision
	return s.apply(ctx, edit)
}

// apply commits an edit and answers with where it is in force.
func (s *Server) apply(ctx context.Context, edit contract.Edit) (EditAnswer, error) {
	entry, err := s.Editor.Apply(ctx, edit)
	if err != nil {
		return EditAnswer{}, err
	}
	s.Advanced()
	return s.confirmed(ctx, entry), nil
}

// confirmed waits a little for the fleet to confirm an entry.
func (s *Server) confirmed(ctx context.Context, entry contract.Entry) EditAnswer {
	answer := EditAnswer{Entry: withoutHash(entry)}
	deadline := time.Now().Add(confirmWait)
	for {
		answer.Confirmation = confirmationOf(s.Fleet.InForce(), entry.Revision)
		if len(answer.Pending) == 0 || time.Now().After(deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(confirmPeriod):
		}
	}
}

// withoutHash returns the entry without the hash of a key's secret, which no
// reader of an answer needs.
func withoutHash(entry contract.Entry) contract.Entry {
	if entry.Key == nil {
		return entry
	}
	shown := *entry.Key
	shown.SecretSHA256 = ""
	entry.Key = &shown
	return entry
}
