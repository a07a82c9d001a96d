package ctl

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

func (a *App) contractCommands() {
	group := a.kingpin.Command("contract", "Contracts of client accounts.")
	apply := group.Command("apply", "Create or change a contract.")
	file := apply.Arg("file", "A JSON contract; absent fields have their defaults.").Required().ExistingFile()
	flags := editFlagsOf(apply)
	apply.Action(func(*kingpin.ParseContext) error { return a.applyContract(*file, flags) })

	get := group.Command("get", "Show a contract.")
	account := get.Arg("account", "The client account.").Required().String()
	get.Action(func(*kingpin.ParseContext) error { return a.getContract(*account) })

	list := group.Command("list", "List the contracts in force on the VM that answers.")
	list.Action(func(*kingpin.ParseContext) error { return a.listContracts() })

	compare := group.Command("diff", "Show the changes that applying a file would make.")
	wanted := compare.Arg("file", "A JSON contract.").Required().ExistingFile()
	compare.Action(func(*kingpin.ParseContext) error { return a.diffContract(*wanted) })

	history := group.Command("history", "Show the accepted edits: who made them, when, what they changed, and when they came into force.")
	historyAccount := history.Arg("account", "Only this client account.").String()
	history.Action(func(*kingpin.ParseContext) error { return a.history(*historyAccount) })
}

func contractRoute(account contract.Account) string {
	return "/v1/contracts/" + url.PathEscape(string(account))
}

// readContract reads a contract file; absent fields have their defaults.
func readContract(path string) (contract.Contract, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return contract.Contract{}, errors.WithStack(&fault.BadRequest{Field: "file", Problem: path})
	}
	wanted := contract.DefaultContract("")
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		return contract.Contract{}, errors.WithStack(&fault.BadRequest{Field: "file", Problem: err.Error()})
	}
	if wanted.Account == "" {
		return contract.Contract{}, errors.WithStack(&fault.BadRequest{Field: "account", Problem: "is required"})
	}
	return wanted, nil
}

// subject reads the contract of an account and its revision from the store. If there is no
// contract, the revision is 0.
func (a *App) subject(account contract.Account) (contract.Subject, error) {
	var found contract.Subject
	err := a.client().Call(context.Background(), http.MethodGet, contractRoute(account), nil, &found)
	if fault.CodeOf(err) == fault.CodeAccountUnknown {
		return contract.Subject{}, nil
	}
	return found, err
}

func (a *App) applyContract(path string, flags editFlags) error {
	wanted, err := readContract(path)
	if err != nil {
		return err
	}
	current, err := a.subject(wanted.Account)
	if err != nil {
		return err
	}
	answer, err := a.sendEdit(editRequest{
		method: http.MethodPut,
		route:  contractRoute(wanted.Account),
		body:   wanted,
		base:   current.Revision,
		flags:  flags,
	})
	return a.showEdit(answer, err)
}

func (a *App) getContract(account string) error {
	found, err := a.subject(contract.Account(account))
	if err != nil {
		return err
	}
	if found.Contract == nil {
		return errors.WithStack(&fault.AccountUnknown{Account: account})
	}
	return a.show(found, func(w io.Writer) {
		row(w, "revision", found.Revision)
		for _, field := range operator.DiffContracts(nil, found.Contract) {
			row(w, field.Field, field.After)
		}
	})
}

func (a *App) listContracts() error {
	var found map[contract.Account]contract.Contract
	if err := a.client().Call(context.Background(), http.MethodGet, "/v1/contracts", nil, &found); err != nil {
		return err
	}
	list := make([]contract.Contract, 0, len(found))
	for _, c := range found {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y contract.Contract) int { return cmp.Compare(x.Account, y.Account) })
	return a.show(list, func(w io.Writer) {
		row(w, "ACCOUNT", "SHARE", "VERSIONS", "SECONDS", "CENTS/H", "RECLAIMABLE", "SERVE ALONE")
		for _, c := range list {
			row(w, c.Account, c.Share, c.Staleness.MaxVersions, c.Staleness.MaxSeconds,
				c.Spending.CentsPerHour, fmt.Sprintf("%d%%", c.Reclaimable.Percent), c.Isolation.ServeDuration())
		}
	})
}

func (a *App) diffContract(path string) error {
	wanted, err := readContract(path)
	if err != nil {
		return err
	}
	current, err := a.subject(wanted.Account)
	if err != nil {
		return err
	}
	changes := operator.DiffContracts(current.Contract, &wanted)
	return a.show(changes, func(w io.Writer) {
		for _, c := range changes {
			row(w, c.Field, orDash(c.Before), "->", c.After)
		}
		if len(changes) == 0 {
			row(w, "no change")
		}
	})
}

func (a *App) history(account string) error {
	var edits []operator.HistoryEdit
	route := "/v1/history?" + url.Values{"account": {account}}.Encode()
	if err := a.client().Call(context.Background(), http.MethodGet, route, nil, &edits); err != nil {
		return err
	}
	return a.show(edits, func(w io.Writer) {
		for _, e := range edits {
			historyTable(w, e)
		}
	})
}

func historyTable(w io.Writer, e operator.HistoryEdit) {
	_, _ = fmt.Fprintf(w, "revision %d  %s  %s by %s (edit %s)\n", e.Revision, formatTime(e.When), e.Subject, e.Who, e.EditID)
	for _, c := range e.Changes {
		row(w, "  "+c.Field, orDash(c.Before), "->", c.After)
	}
	if e.InForce.Everywhere != nil {
		_, _ = fmt.Fprintf(w, "  in force everywhere at %s on %d VMs\n", formatTime(*e.InForce.Everywhere), len(e.InForce.VMs))
	}
	for _, vm := range e.InForce.VMs {
		row(w, "    "+vm.VM, formatTime(vm.At))
	}
	if len(e.InForce.Unknown) > 0 {
		_, _ = fmt.Fprintf(w, "  when in force is not known on %s\n", strings.Join(e.InForce.Unknown, ", "))
	}
}
