package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// KeyPrefix is the prefix of every key that a caller presents.
const KeyPrefix = "dwp_"

// Key is a granted key. The secret itself is never stored.
type Key struct {
	ID      string  `json:"id" validate:"required,alphanum,max=64"`
	Account Account `json:"account" validate:"required,max=64,excludesall=/"`
	// SecretSHA256 is the hex SHA-256 of the secret.
	SecretSHA256 string `json:"secretSha256" validate:"required,hexadecimal,len=64"`
	Withdrawn    bool   `json:"withdrawn"`
}

// PresentedKey is a key as a caller sent it.
type PresentedKey struct {
	ID     string
	Secret string
}

// ParseKey parses "dwp_<id>_<secret>". It fails with *fault.KeyInvalid.
func ParseKey(text string) (PresentedKey, error) {
	rest, ok := strings.CutPrefix(text, KeyPrefix)
	if !ok {
		return PresentedKey{}, errors.WithStack(&fault.KeyInvalid{})
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || id == "" || len(secret) < minSecretLength {
		return PresentedKey{}, errors.WithStack(&fault.KeyInvalid{})
	}
	return PresentedKey{ID: id, Secret: secret}, nil
}

// minSecretLength is the smallest length of a secret in bytes.
const minSecretLength = 16

// HashSecret returns the hex SHA-256 of a secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the secret is the key's. It compares the hashes in constant time,
// so that the response time reveals nothing about the stored hash.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(k.SecretSHA256)) == 1
}
