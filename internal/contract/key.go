package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// KeyPrefix starts every key that a caller presents.
const KeyPrefix = "dwp_"

// Key is a granted key. The secret itself is never kept.
type Key struct {
	ID      string  `json:"id" validate:"required,alphanum,max=64"`
	Account Account `json:"account" validate:"required,max=64,excludesall=/"`
	// SecretSHA256 is the hex SHA-256 of the secret.
	SecretSHA256 string `json:"secretSha256" validate:"required,hexadecimal,len=64"`
	Withdrawn    bool   `json:"withdrawn"`
}

// Presented is a key as a caller sent it.
type Presented struct {
	ID     string
	Secret string
}

// ParseKey reads "dwp_<id>_<secret>". It fails with *fault.KeyInvalid.
func ParseKey(text string) (Presented, error) {
	rest, ok := strings.CutPrefix(text, KeyPrefix)
	if !ok {
		return Presented{}, errors.WithStack(&fault.KeyInvalid{})
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || id == "" || len(secret) < minSecret {
		return Presented{}, errors.WithStack(&fault.KeyInvalid{})
	}
	return Presented{ID: id, Secret: secret}, nil
}

// minSecret is the shortest secret in characters.
const minSecret = 16

// HashSecret returns the hex SHA-256 of a secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Matches compares the secret's hash in constant time, so that the time of a
// refusal tells a guesser nothing about the hash.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(k.SecretSHA256)) == 1
}
