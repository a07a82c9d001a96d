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
	grant := group.Command("grant", "Grant a key, and print it (it is not shown again) or write it to a file.")
	account := grant.Arg("account", "The client account.").Required().String()
	keyFile := grant.Flag("key-file", "Write the key to this new file instead of printing it; a retry with --edit-id reads it from there.").String()
	grantFlags := editFlagsOf(grant)
	grant.Action(func(*kingpin.ParseContext) error {
		return a.grantKey(contract.Account(*account), *keyFile, grantFlags)
	})

	withdraw := group.Command("withdraw", "Withdraw a key.")
	id := withdraw.Arg("id", "The key's ID, which is the part between the underscores.").Required().String()
	withdrawFlags := editFlagsOf(withdraw)
	withdraw.Action(func(*kingpin.ParseContext) error { return a.withdrawKey(*id, withdrawFlags) })

	list := group.Command("list", "List the keys in force on the VM that answers, without their secrets.")
	list.Action(func(*kingpin.ParseContext) error { return a.listKeys() })
}

const (
	keyIDBytes  = 8
	secretBytes = 24
	// keyFileMode lets only the owner of the file read the key.
	keyFileMode = 0o600
)

// grantedKey is the JSON result of a grant.
type grantedKey struct {
	// Key is the complete key; empty if it was written to KeyFile.
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
	answer, err := a.sendEdit(editRequest{
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
	showErr := a.show(granted, func(w io.Writer) {
		if keyFile != "" {
			row(w, "key "+key.ID+" written to "+keyFile)
			return
		}
		row(w, granted.Key)
	})
	if showErr != nil {
		return showErr
	}
	return err
}

// newKey generates a key. If keyFile is given, the key is written there before it is
// granted, so that it isn't lost if the answer to the grant is lost; a retry reads it from
// there.
func newKey(keyFile string, retry bool) (contract.PresentedKey, error) {
	key := contract.PresentedKey{ID: randomHex(keyIDBytes), Secret: randomHex(secretBytes)}
	if keyFile == "" {
		return key, nil
	}
	if retry {
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
		return key, errors.WithStack(&fault.BadRequest{Field: "key-file", Problem: "cannot be written"})
	}
	return key, nil
}

func keyText(key contract.PresentedKey) string {
	return contract.KeyPrefix + key.ID + "_" + key.Secret
}

func randomHex(bytes int) string {
	raw := make([]byte, bytes)
	// rand.Read never returns an error; it crashes the process if the system has no
	// randomness.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (a *App) withdrawKey(id string, flags editFlags) error {
	// Refuse a complete key before its secret is sent to a VM.
	if strings.HasPrefix(id, contract.KeyPrefix) {
		return errors.WithStack(&fault.BadRequest{Field: "id", Problem: "is a complete key; give only the part between the underscores"})
	}
	answer, err := a.sendEdit(editRequest{method: http.MethodDelete, route: "/v1/keys/" + url.PathEscape(id), flags: flags})
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
