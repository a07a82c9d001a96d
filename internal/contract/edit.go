package contract

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"dogwoodpond/internal/fault"
)

// Edit is an operator's request to change one contract or key.
type Edit struct {
	// ID is chosen by the operator's tool; a retry with the same ID returns the first
	// answer.
	ID   string   `json:"id" validate:"required,max=64"`
	Kind EditKind `json:"kind" validate:"oneof=contract grant withdraw"`
	Who  string   `json:"who" validate:"required,max=128"`
	// Base is the Revision of the Subject that the operator read; 0 means that the
	// contract or key did not exist. It keeps the edit from overwriting a change that
	// another operator made meanwhile.
	Base     Revision  `json:"base"`
	Contract *Contract `json:"contract,omitempty"`
	Key      *Key      `json:"key,omitempty"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate fails with *fault.EditInvalid if the edit is not well formed.
func (e Edit) Validate() error {
	if err := validate.Struct(e); err != nil {
		return editInvalid(err)
	}
	isContract := e.Kind == EditContract
	if isContract != (e.Contract != nil) || isContract != (e.Key == nil) {
		return errors.WithStack(&fault.EditInvalid{Field: "kind", Problem: "must match the content"})
	}
	if e.Key != nil && e.Key.Withdrawn != (e.Kind == EditWithdraw) {
		return errors.WithStack(&fault.EditInvalid{Field: "key.withdrawn", Problem: "must match the kind"})
	}
	return nil
}

// MatchesEntry reports whether an accepted entry with the edit's ID has the kind and content of
// the edit. An edit with the ID of a different one must not get that one's answer: the
// operator would consider it accepted.
func (e Edit) MatchesEntry(accepted Entry) bool {
	return accepted.Kind == e.Kind &&
		reflect.DeepEqual(accepted.Contract, e.Contract) &&
		reflect.DeepEqual(accepted.Key, e.Key)
}

// editInvalid returns the *fault.EditInvalid for the first violation in a validator's error.
func editInvalid(err error) error {
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return errors.WithStack(&fault.EditInvalid{Field: "edit", Problem: "can't be validated"})
	}
	first := violations[0]
	return errors.WithStack(&fault.EditInvalid{Field: first.Namespace(), Problem: "must satisfy " + first.Tag() + " " + first.Param()})
}

// SubjectName returns the name of the contract or key that the edit changes:
// "contract/<account>" or "key/<id>". It is also the key of the row in the store.
func (e Edit) SubjectName() string {
	if e.Contract != nil {
		return "contract/" + string(e.Contract.Account)
	}
	return "key/" + e.Key.ID
}

// Subject is a contract or a key with the revision of its last edit.
type Subject struct {
	// Revision is the revision of the last edit, and the Base that the next edit must
	// have; 0 means that the subject does not exist.
	Revision Revision  `json:"revision"`
	Contract *Contract `json:"contract,omitempty"`
	Key      *Key      `json:"key,omitempty"`
}
