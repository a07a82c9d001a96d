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

// editFlags are the flags that all edits share.
type editFlags struct {
	id   *string
	wait *time.Duration
}

func editFlagsOf(command *kingpin.CmdClause) editFlags {
	return editFlags{
		id:   command.Flag("edit-id", "Names the edit; a repeat with the same ID is harmless. Default: a new one.").String(),
		wait: command.Flag("wait", "Wait this long until the edit is in force everywhere; exit with 7 if it is not by then.").Duration(),
	}
}

// identity returns the edit's ID.
func (f editFlags) identity() string {
	if *f.id == "" {
		*f.id = uuid.NewString()
	}
	return *f.id
}

// edit is one edit on its way to the operators' API.
type edit struct {
	method, route string
	body          any
	base          contract.Revision
	flags         editFlags
}

// send makes an edit. A lost answer becomes *fault.EditOutcomeUnknown with the
// edit's ID, since only a repeat with that ID can't edit twice.
func (a *App) send(e edit) (operator.EditAnswer, error) {
	var answer operator.EditAnswer
	if *a.who == "" {
		return answer, errors.WithStack(&fault.BadRequest{Field: "who", Problem: "must name who makes the edit (--who or DOGWOODPOND_WHO)"})
	}
	err := a.client().Call(context.Background(), e.method, e.route, e.body, &answer,
		Header{operator.HeaderIfMatch, fmt.Sprint(e.base)},
		Header{operator.HeaderEditID, e.flags.identity()})
	if outcomeUnknown(err) {
		return answer, errors.WithStack(&fault.EditOutcomeUnknown{EditID: e.flags.identity(), Cause: fault.CodeOf(err)})
	}
	if err != nil {
		return answer, err
	}
	return answer, a.await(&answer, *e.flags.wait)
}

// outcomeUnknown reports whether an edit that failed like this may have been
// accepted: the answer of the VM, or of the store to the VM, was lost.
func outcomeUnknown(err error) bool {
	code := fault.CodeOf(err)
	return fault.Is[*AnswerLost](err) || err != nil && (code == fault.CodeStoreUnavailable || code == fault.CodeInternal)
}

// confirmPeriod is how often await asks where an edit is in force.
const confirmPeriod = 500 * time.Millisecond

// await asks until the edit is in force everywhere or the time is over.
func (a *App) await(answer *operator.EditAnswer, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	deadline := time.Now().Add(wait)
	for len(answer.Pending) > 0 && time.Now().Before(deadline) {
		time.Sleep(confirmPeriod)
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

// showEdit prints an accepted edit; err is what send returned. An edit that is
// still pending is printed as well, since it was accepted.
func (a *App) showEdit(answer operator.EditAnswer, err error) error {
	if err != nil && !fault.Is[*fault.EditPending](err) {
		return err
	}
	shown := a.show(answer, func(w io.Writer) { editTable(w, answer) })
	if shown != nil {
		return shown
	}
	return err
}

func editTable(w io.Writer, answer operator.EditAnswer) {
	row(w, "revision", answer.Entry.Revision)
	row(w, "edit", answer.Entry.EditID)
	row(w, "who", answer.Entry.Who)
	row(w, "when", clock(answer.Entry.When))
	row(w, "in force on", fmt.Sprintf("%d VMs", len(answer.Confirmed)))
	for _, line := range pendingLines(answer) {
		row(w, "pending", line)
	}
}

// pendingLines tell where an edit is not known to be in force, and for a
// withdrawal what that means.
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
