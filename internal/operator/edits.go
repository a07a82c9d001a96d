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

func (s *Server) withdrawKey(r *restful.Request) (any, error) {
	edit, err := editOf(r, contract.EditWithdraw)
	if err != nil {
		return nil, err
	}
	subject, err := s.Editor.Subject(r.Request.Context(), "key/"+r.PathParameter("id"))
	if err != nil {
		return nil, err
	}
	if subject.Key == nil {
		return nil, errors.WithStack(&fault.KeyInvalid{})
	}
	withdrawn := *subject.Key
	withdrawn.Withdrawn = true
	edit.Key = &withdrawn
	edit.Base = subject.Revision
	return s.apply(r.Request.Context(), edit)
}

// apply commits an edit and waits a little for the fleet to confirm it.
func (s *Server) apply(ctx context.Context, edit contract.Edit) (any, error) {
	entry, err := s.Editor.Apply(ctx, edit)
	if err != nil {
		return nil, err
	}
	s.Advanced()
	answer := EditAnswer{Entry: entry}
	deadline := time.Now().Add(confirmWait)
	for {
		answer.Confirmed, answer.Pending = s.confirmations(entry.Revision)
		if len(answer.Pending) == 0 || time.Now().After(deadline) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-time.After(confirmPeriod):
		}
	}
}

func (s *Server) confirmations(revision contract.Revision) (confirmed, pending []string) {
	confirmed, pending = []string{}, []string{}
	for _, vm := range s.Fleet.InForce() {
		if vm.Known && vm.Revision >= revision {
			confirmed = append(confirmed, vm.VM)
			continue
		}
		pending = append(pending, vm.VM)
	}
	return confirmed, pending
}
