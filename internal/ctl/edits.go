package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

// editFlags are the flags of all commands that make an edit.
type editFlags struct {
	id   *string
	wait *time.Duration
}

func editFlagsOf(command *kingpin.CmdClause) editFlags {
	return editFlags{
		id:   command.Flag("edit-id", "ID of the edit; edits with the same ID are accepted once. Default: a new ID.").String(),
		wait: command.Flag("wait", "Wait up to this long until the edit is in force on all VMs; exit with 7 if it is not by then.").Duration(),
	}
}

// editID returns the edit's ID, which is generated on the first call unless the flag gave
// one.
func (f editFlags) editID() string {
	if *f.id == "" {
		*f.id = uuid.NewString()
	}
	return *f.id
}

// editRequest is a call of the operators' API that makes an edit.
type editRequest struct {
	method, route string
	body          any
	base          contract.Revision
	flags         editFlags
}

// sendEdit makes an edit and waits for its confirmation at most as long as --wait says. If the outcome is not known it fails
// with *fault.EditOutcomeUnknown and the edit's ID, since only a retry with the same ID
// can't make the edit twice.
func (a *App) sendEdit(e editRequest) (operator.EditAnswer, error) {
	var answer operator.EditAnswer
	if *a.who == "" {
		return answer, errors.WithStack(&fault.BadRequest{Field: "who", Problem: "must name the operator who makes the edit (--who or DOGWOODPOND_WHO)"})
	}
	err := a.client().Call(context.Background(), e.method, e.route, e.body, &answer,
		Header{operator.HeaderIfMatch, fmt.Sprint(e.base)},
		Header{operator.HeaderEditID, e.flags.editID()})
	if outcomeUnknown(err) {
		return answer, errors.WithStack(&fault.EditOutcomeUnknown{EditID: e.flags.editID(), Cause: fault.CodeOf(err)})
	}
	if err != nil {
		return answer, err
	}
	return answer, a.awaitConfirmation(&answer, *e.flags.wait)
}

// outcomeUnknown reports whether an edit that failed with err may have been accepted: the
// answer of the VM to the tool, or of the store to the VM, was lost.
func outcomeUnknown(err error) bool {
	code := fault.CodeOf(err)
	return fault.Is[*AnswerLost](err) || err != nil && (code == fault.CodeStoreUnavailable || code == fault.CodeInternal)
}

// confirmPollInterval is the interval at which awaitConfirmation polls where an edit is in
// force.
const confirmPollInterval = 500 * time.Millisecond

// awaitConfirmation polls until the edit is in force on all VMs, at most for wait. It fails
// with *fault.EditPending if the edit is pending then.
func (a *App) awaitConfirmation(answer *operator.EditAnswer, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	deadline := time.Now().Add(wait)
	for len(answer.Pending) > 0 && time.Now().Before(deadline) {
		time.Sleep(confirmPollInterval)
		route := fmt.Sprintf("/v1/revisions/%d/confirmation", answer.Entry.Revision)
		var now operator.Confirmation
		if err := a.client().Call(context.Background(), http.MethodGet, route, nil, &now); err == nil {
			answer.Confirmation = now
		}
	}
	if len(answer.Pending) > 0 {
		return errors.WithStack(&fault.EditPending{Revision: uint64(answer.Entry.Revision), VMs: answer.Pending})
	}
	return nil
}

// showEdit prints an accepted edit; err is the error of sendEdit. An edit that is still
// pending is printed too, since it was accepted.
func (a *App) showEdit(answer operator.EditAnswer, err error) error {
	if err != nil && !fault.Is[*fault.EditPending](err) {
		return err
	}
	showErr := a.show(answer, func(w io.Writer) { editTable(w, answer) })
	if showErr != nil {
		return showErr
	}
	return err
}

func editTable(w io.Writer, answer operator.EditAnswer) {
	row(w, "revision", answer.Entry.Revision)
	row(w, "edit", answer.Entry.EditID)
	row(w, "who", answer.Entry.Who)
	row(w, "when", formatTime(answer.Entry.When))
	row(w, "in force on", fmt.Sprintf("%d VMs", len(answer.Confirmed)))
	for _, line := range pendingLines(answer) {
		row(w, "pending", line)
	}
}

// pendingLines returns a line for each failure domain where an edit is not known to be in
// force. For a withdrawal the line says how long the key may remain valid there.
func pendingLines(answer operator.EditAnswer) []string {
	var lines []string
	for _, d := range answer.PendingDomains {
		line := fmt.Sprintf("failure domain %s: %s", d.FailureDomain, strings.Join(d.VMs, ", "))
		if d.CutOff {
			line += " (cut off)"
		}
		if answer.Entry.Kind == contract.EditWithdraw {
			line += fmt.Sprintf("; the key may go on there for up to %d s after the cut (isolation.serveSeconds)", answer.ServeSeconds)
		}
		lines = append(lines, line)
	}
	return lines
}
