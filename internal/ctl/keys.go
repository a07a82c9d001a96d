package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

func (a *App) keyCommands() {
	group := a.kingpin.Command("key", "Keys of client accounts.")
	grant := group.Command("grant", "Grant a key and print it, this once, or write it to a file.")
	account := grant.Arg("account", "The client account.").Required().String()
	keyFile := grant.Flag("key-file", "Write the key to this new file instead; a repeat with --edit-id reads it from there.").String()
	grantFlags := editFlagsOf(grant)
	grant.Action(func(*kingpin.ParseContext) error {
		return a.grantKey(contract.Account(*account), *keyFile, grantFlags)
	})

	withdraw := group.Command("withdraw", "Withdraw a key.")
	id := withdraw.Arg("id", "The key's ID: the part between the underscores.").Required().String()
	withdrawFlags := editFlagsOf(withdraw)
	withdraw.Action(func(*kingpin.ParseContext) error { return a.withdrawKey(*id, withdrawFlags) })

	list := group.Command("list", "List the keys in force on the VM that answers, without their secrets.")
	list.Action(func(*kingpin.ParseContext) error { return a.listKeys() })
}

const (
	keyIDBytes  = 8
	secretBytes = 24
	// keyFileMode keeps other users of the machine from reading a key.
	keyFileMode = 0o600
)

// grantedKey is what a grant answers to a program.
type grantedKey struct {
	// Key is the whole key; empty when it went to a file.
	Key     string              `json:"key,omitempty"`
	KeyFile string              `json:"keyFile,omitempty"`
	KeyID   string              `json:"keyId"`
	Edit    operator.EditAnswer `json:"edit"`
}

func (a *App) grantKey(account contract.Account, keyFile string, flags editFlags) error {
	key, err := newKey(keyFile, *flags.id != "")
	if err != nil {
		return err
	}
	answer, err := a.send(edit{
		method: http.MethodPut,
		route:  "/v1/keys/" + url.PathEscape(key.ID),
		body:   operator.KeyGrant{Account: account, SecretSHA256: contract.HashSecret(key.Secret)},
		flags:  flags,
	})
	if fault.Is[*fault.EditOutcomeUnknown](err) && keyFile == "" {
		a.note("the key %s was not printed, because its grant may have failed: withdraw it if it is listed", key.ID)
	}
	if err != nil && !fault.Is[*fault.EditPending](err) {
		return err
	}
	granted := grantedKey{Key: keyText(key), KeyID: key.ID, Edit: answer}
	if keyFile != "" {
		granted.Key, granted.KeyFile = "", keyFile
	}
	for _, line := range pendingLines(answer) {
		a.note("pending: %s", line)
	}
	shown := a.show(granted, func(w io.Writer) {
		if keyFile != "" {
			row(w, "key "+key.ID+" written to "+keyFile)
			return
		}
		row(w, granted.Key)
	})
	if shown != nil {
		return shown
	}
	return err
}

// newKey makes a key. With a file, the key is written there before its grant, so
// that a lost answer does not lose the key; a repeat reads it back.
func newKey(keyFile string, repeat bool) (contract.Presented, error) {
	key := contract.Presented{ID: randomHex(keyIDBytes), Secret: randomHex(secretBytes)}
	if keyFile == "" {
		return key, nil
	}
	if repeat {
		if text, err := os.ReadFile(keyFile); err == nil {
			return contract.ParseKey(strings.TrimSpace(string(text)))
		}
	}
	file, err := os.OpenFile(keyFile, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return key, errors.WithStack(&fault.BadRequest{Field: "key-file", Problem: "must be a new file that can be written"})
	}
	_, err = fmt.Fprintln(file, keyText(key))
	if closed := file.Close(); err != nil || closed != nil {
		return key, errors.WithStack(&fault.BadRequest{Field: "key-file", Problem: "can't be written"})
	}
	return key, nil
}

func keyText(key contract.Presented) string {
	return contract.KeyPrefix + key.ID + "_" + key.Secret
}

func randomHex(bytes int) string {
	raw := make([]byte, bytes)
	// rand.Read never fails; it ends the process when the system has no
	// randomness.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (a *App) withdrawKey(id string, flags editFlags) error {
	// Whoever pastes the whole key is told so before the secret travels on.
	if strings.HasPrefix(id, contract.KeyPrefix) {
		return errors.WithStack(&fault.BadRequest{Field: "id", Problem: "is a whole key; give only the part between the underscores"})
	}
	answer, err := a.send(edit{method: http.MethodDelete, route: "/v1/keys/" + url.PathEscape(id), flags: flags})
	return a.showEdit(answer, err)
}

func (a *App) listKeys() error {
	var keys []operator.KeyView
	if err := a.client().Call(context.Background(), http.MethodGet, "/v1/keys", nil, &keys); err != nil {
		return err
	}
	return a.show(keys, func(w io.Writer) {
		row(w, "KEY", "ACCOUNT", "STATE")
		for _, key := range keys {
			row(w, key.ID, key.Account, keyState(key))
		}
	})
}

func keyState(key operator.KeyView) string {
	if key.Withdrawn {
		return "withdrawn"
	}
	return "granted"
}
