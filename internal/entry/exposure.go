package entry

import (
	"bytes"
	"encoding/hex"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
)

// decodeRounds bounds how often text is unescaped: a path or a JSON string may
// hold text that is escaped again, as in a prompt that quotes JSON. Each round
// reads the text once, so the bound also limits what a hostile body costs.
const decodeRounds = 16

// checkExposure refuses a request that carries a key anywhere but in its
// Authorization header, since every other part may reach an upstream. It looks
// for the request's own secret, and for any other key that is in force.
func checkExposure(r *http.Request, body []byte, secret string, snapshot *contract.Snapshot) error {
	guard := exposureGuard{secret: []byte(secret), snapshot: snapshot}
	if guard.exposed([]byte(r.URL.EscapedPath())) || guard.exposed([]byte(r.URL.RawQuery)) {
		return errors.WithStack(&fault.KeyExposed{Part: "path or query"})
	}
	if guard.exposed(body) {
		return errors.WithStack(&fault.KeyExposed{Part: "body"})
	}
	if guard.exposedHeader(r.Header) {
		return errors.WithStack(&fault.KeyExposed{Part: "header"})
	}
	if guard.exposedHeader(r.Trailer) {
		return errors.WithStack(&fault.KeyExposed{Part: "trailer"})
	}
	return nil
}

type exposureGuard struct {
	secret   []byte
	snapshot *contract.Snapshot
}

func (g exposureGuard) exposedHeader(header http.Header) bool {
	for name, values := range header {
		if name == "Authorization" {
			continue
		}
		if g.exposed([]byte(name + " " + strings.Join(values, " "))) {
			return true
		}
	}
	return false
}

// exposed reports whether text holds a key, plain or escaped.
func (g exposureGuard) exposed(text []byte) bool {
	for range decodeRounds {
		if bytes.Contains(text, g.secret) || g.holdsKey(text) {
			return true
		}
		next := unescape(text)
		if next == nil {
			return false
		}
		text = next
	}
	// What stands below still more layers can't be told, so it is refused.
	return true
}

// holdsKey reports whether text holds any key that is in force.
func (g exposureGuard) holdsKey(text []byte) bool {
	prefix := []byte(contract.KeyPrefix)
	for {
		at := bytes.Index(text, prefix)
		if at < 0 {
			return false
		}
		end := at
		for end < len(text) && isKeyByte(text[end]) {
			end++
		}
		presented, err := contract.ParseKey(string(text[at:end]))
		if err == nil && g.inForce(presented) {
			return true
		}
		text = text[at+len(prefix):]
	}
}

func (g exposureGuard) inForce(p contract.Presented) bool {
	key, known := g.snapshot.Keys[p.ID]
	return known && !key.Withdrawn && key.Matches(p.Secret)
}

// isKeyByte reports whether a byte may stand in a key.
func isKeyByte(b byte) bool {
	return b == '_' || b == '-' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

// unescape decodes one layer of percent and JSON escapes, wherever they stand.
// It returns nil when there was none.
func unescape(text []byte) []byte {
	if !bytes.ContainsAny(text, `%\`) {
		return nil
	}
	out := make([]byte, 0, len(text))
	changed := false
	for i := 0; i < len(text); {
		length := 0
		if out, length = appendUnescaped(out, text[i:]); length > 0 {
			i += length
			changed = true
			continue
		}
		out = append(out, text[i])
		i++
	}
	if !changed {
		return nil
	}
	return out
}

const (
	percentLength = len("%xx")
	unicodeLength = len(`\uxxxx`)
)

// appendUnescaped appends what the escape at the start of text stands for, and
// returns the length of the escape; 0 when there is none.
func appendUnescaped(out, text []byte) (grown []byte, length int) {
	var raw [2]byte
	switch {
	case text[0] == '%' && len(text) >= percentLength:
		if _, err := hex.Decode(raw[:1], text[1:percentLength]); err != nil {
			return out, 0
		}
		return append(out, raw[0]), percentLength
	case text[0] != '\\' || len(text) < 2:
		return out, 0
	case text[1] == 'u' && len(text) >= unicodeLength:
		if _, err := hex.Decode(raw[:], text[2:unicodeLength]); err != nil {
			return out, 0
		}
		return utf8.AppendRune(out, rune(raw[0])<<8|rune(raw[1])), unicodeLength
	case text[1] == '"' || text[1] == '\\' || text[1] == '/':
		return append(out, text[1]), 2
	default:
		return out, 0
	}
}
