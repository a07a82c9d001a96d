package operator

import (
	"cmp"
	"slices"

	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/contract"
)

// KeyView is a key without the hash of its secret, as operators see it.
type KeyView struct {
	ID        string           `json:"id"`
	Account   contract.Account `json:"account"`
	Withdrawn bool             `json:"withdrawn"`
}

// listKeys lists the keys in force on the answering VM.
func (s *Server) listKeys(*restful.Request) (any, error) {
	keys := []KeyView{}
	for _, key := range s.View.Load().Keys {
		keys = append(keys, KeyView{ID: key.ID, Account: key.Account, Withdrawn: key.Withdrawn})
	}
	slices.SortFunc(keys, func(a, b KeyView) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.ID, b.ID))
	})
	return keys, nil
}
