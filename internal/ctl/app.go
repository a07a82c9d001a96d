package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/settings"
)

// App is the command line.
type App struct {
	kingpin *kingpin.Application
	out     io.Writer

	address *string
	token   *string
	who     *string
}

// NewApp returns the command line; results go to out.
func NewApp(out io.Writer) *App {
	a := &App{kingpin: kingpin.New("dogwoodpondctl", "Drives dogwoodpond by contracts and keys."), out: out}
	a.address = a.kingpin.Flag("address", "The operators' address of any VM.").Envar("DOGWOODPOND_ADDRESS").Default("127.0.0.1:7001").String()
	a.token = a.kingpin.Flag("token", "The operators' credential.").Envar("DOGWOODPOND_TOKEN").String()
	a.who = a.kingpin.Flag("who", "Who makes the edit, for the history.").Envar("DOGWOODPOND_WHO").Default(os.Getenv("USER")).String()
	a.contractCommands()
	a.keyCommands()
	a.fleetCommands()
	a.settingsCommands()
	return a
}

// Run parses the arguments and runs the command.
func (a *App) Run(arguments []string) error {
	_, err := a.kingpin.Parse(arguments)
	return err
}

func (a *App) client() *Client { return NewClient(*a.address, *a.token, *a.who) }

func (a *App) print(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *App) contractCommands() {
	group := a.kingpin.Command("contract", "Contracts of client accounts.")
	apply := group.Command("apply", "Create or change a contract.")
	file := apply.Arg("file", "A JSON contract.").Required().ExistingFile()
	apply.Action(func(*kingpin.ParseContext) error { return a.applyContract(*file) })
}

func (a *App) applyContract(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "file", Problem: path})
	}
	var wanted struct {
		Account contract.Account `json:"account"`
	}
	if err := json.Unmarshal(text, &wanted); err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "file", Problem: "is not JSON"})
	}
	route := "/v1/contracts/" + url.PathEscape(string(wanted.Account))
	base, err := a.revisionOf(route)
	if err != nil {
		return err
	}
	var answer operator.EditAnswer
	err = a.client().Call(context.Background(), http.MethodPut, route, json.RawMessage(text), &answer,
		Header{operator.HeaderIfMatch, fmt.Sprint(base)},
		Header{operator.HeaderEditID, uuid.NewString()})
	if err != nil {
		return err
	}
	return a.print(answer)
}

// revisionOf returns the revision of a contract's last edit, or 0.
func (a *App) revisionOf(route string) (contract.Revision, error) {
	var subject contract.Subject
	err := a.client().Call(context.Background(), http.MethodGet, route, nil, &subject)
	if fault.CodeOf(err) == fault.CodeAccountUnknown {
		return 0, nil
	}
	return subject.Revision, err
}

func (a *App) keyCommands() {
	group := a.kingpin.Command("key", "Keys of client accounts.")
	grant := group.Command("grant", "Grant a key and print it once.")
	account := grant.Arg("account", "The client account.").Required().String()
	grant.Action(func(*kingpin.ParseContext) error { return a.grantKey(contract.Account(*account)) })
	withdraw := group.Command("withdraw", "Withdraw a key.")
	id := withdraw.Arg("id", "The key's ID.").Required().String()
	withdraw.Action(func(*kingpin.ParseContext) error { return a.withdrawKey(*id) })
}

const (
	keyIDBytes  = 8
	secretBytes = 24
)

func (a *App) grantKey(account contract.Account) error {
	id, secret := randomHex(keyIDBytes), randomHex(secretBytes)
	grant := operator.KeyGrant{Account: account, SecretSHA256: contract.HashSecret(secret)}
	var answer operator.EditAnswer
	err := a.client().Call(context.Background(), http.MethodPut, "/v1/keys/"+id, grant, &answer,
		Header{operator.HeaderEditID, uuid.NewString()})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s%s_%s\n", contract.KeyPrefix, id, secret)
	return err
}

func randomHex(bytes int) string {
	raw := make([]byte, bytes)
	// rand.Read never fails; it ends the process when the system has no
	// randomness.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (a *App) withdrawKey(id string) error {
	var answer operator.EditAnswer
	err := a.client().Call(context.Background(), http.MethodDelete, "/v1/keys/"+url.PathEscape(id), nil, &answer,
		Header{operator.HeaderEditID, uuid.NewString()})
	if err != nil {
		return err
	}
	return a.print(answer)
}

func (a *App) fleetCommands() {
	status := a.kingpin.Command("status", "Show VMs, revisions and upstreams.")
	status.Action(func(*kingpin.ParseContext) error {
		var answer operator.Status
		if err := a.client().Call(context.Background(), http.MethodGet, "/v1/status", nil, &answer); err != nil {
			return err
		}
		return a.print(answer)
	})
	timeline := a.kingpin.Command("timeline", "Show the events of all processes in order.")
	request := timeline.Flag("request", "Only this request.").String()
	timeline.Action(func(*kingpin.ParseContext) error { return a.timeline(*request) })
}

func (a *App) timeline(request string) error {
	var answer operator.EventsAnswer
	if err := a.client().Call(context.Background(), http.MethodGet, "/v1/events", nil, &answer); err != nil {
		return err
	}
	for _, e := range answer.Events {
		if request != "" && e.Request != request {
			continue
		}
		_, err := fmt.Fprintf(a.out, "%s  %-8s  %-8s  %-24s  %s\n", e.Stamp, e.VM, e.Number, e.Name, describe(e.Subject))
		if err != nil {
			return errors.WithStack(&fault.Internal{Where: "output"})
		}
	}
	for _, vm := range answer.Missing {
		_, _ = fmt.Fprintf(a.out, "missing: VM %s did not answer\n", vm)
	}
	return nil
}

func describe(subject any) string {
	text, err := json.Marshal(subject)
	if err != nil {
		return ""
	}
	return string(text)
}

func (a *App) settingsCommands() {
	group := a.kingpin.Command("settings", "Settings of the daemon.")
	check := group.Command("check", "Check a settings file.")
	file := check.Arg("file", "The file.").Required().ExistingFile()
	check.Action(func(*kingpin.ParseContext) error {
		if _, err := settings.Load(*file); err != nil {
			return err
		}
		_, err := fmt.Fprintln(a.out, "settings: ok")
		return err
	})
}
