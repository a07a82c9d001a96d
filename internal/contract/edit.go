package contract

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"dogwoodpond/internal/fault"
)

// Edit is an operator's wish to change one contract or key.
type Edit struct {
	// ID is chosen by the operator's tool; a repeat with the same ID returns
	// the first answer.
	ID   string   `json:"id" validate:"required,max=64"`
	Kind EditKind `json:"kind" validate:"oneof=contract grant withdraw"`
	Who  string   `json:"who" validate:"required,max=128"`
	// Base is the revision at which the operator read the contract or key; 0
	// says that it did not exist. It guards against overwriting what another
	// operator changed meanwhile.
	Base     Revision  `json:"base"`
	Contract *Contract `json:"contract,omitempty"`
	Key      *Key      `json:"key,omitempty"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Check reports whether the edit is well formed. It fails with
// *fault.EditInvalid.
func (e Edit) Check() error {
	if err := validate.Struct(e); err != nil {
		return invalid(err)
	}
	wantsContract := e.Kind == EditContract
	if wantsContract != (e.Contract != nil) || wantsContract != (e.Key == nil) {
		return errors.WithStack(&fault.EditInvalid{Field: "kind", Problem: "must match the content"})
	}
	if e.Key != nil && e.Key.Withdrawn != (e.Kind == EditWithdraw) {
		return errors.WithStack(&fault.EditInvalid{Field: "key.withdrawn", Problem: "must match the kind"})
	}
	return nil
}

// Accepts reports whether an accepted entry is this edit's. An edit ID that was
// used for another edit must not get that edit's answer: the operator would
// take the edit for accepted.
func (e Edit) Accepts(accepted Entry) bool {
	return accepted.Kind == e.Kind &&
		reflect.DeepEqual(accepted.Contract, e.Contract) &&
		reflect.DeepEqual(accepted.Key, e.Key)
}

func invalid(err error) error {
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return errors.WithStack(&fault.EditInvalid{Field: "edit", Problem: "can't be checked"})
	}
	first := broken[0]
	return errors.WithStack(&fault.EditInvalid{Field: first.Namespace(), Problem: "must satisfy " + first.Tag() + " " + first.Param()})
}

// SubjectName names the contract or key that the edit changes, as "contract/<account>"
// or "key/<id>"; it is also the key of its row.
func (e Edit) SubjectName() string {
	if e.Contract != nil {
		return "contract/" + string(e.Contract.Account)
	}
	return "key/" + e.Key.ID
}

// Subject is a contract or a key with the revision of its last edit.
type Subject struct {
	// Revision is what the next edit must name as its Base; 0 means that the
	// subject does not exist.
	Revision Revision  `json:"revision"`
	Contract *Contract `json:"contract,omitempty"`
	Key      *Key      `json:"key,omitempty"`
}
