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

// maxUnescapeRounds is how many times text is searched and then unescaped: a
// path or a JSON string may contain text that is itself escaped, as in a prompt
// that quotes JSON. Each round reads the text once, so the limit also bounds
// the cost of a malicious body.
const maxUnescapeRounds = 16

// checkExposure refuses a request that contains a key outside its Authorization
// header, because every other part may be forwarded to an upstream. It searches
// for the secret of the request's own key and for every other active key.
func checkExposure(r *http.Request, body []byte, secret string, snapshot *contract.Snapshot) error {
	detector := keyDetector{secret: []byte(secret), snapshot: snapshot}
	if detector.containsKey([]byte(r.URL.EscapedPath())) || detector.containsKey([]byte(r.URL.RawQuery)) {
		return errors.WithStack(&fault.KeyExposed{Part: "path or query"})
	}
	if detector.containsKey(body) {
		return errors.WithStack(&fault.KeyExposed{Part: "body"})
	}
	if detector.headerContainsKey(r.Header) {
		return errors.WithStack(&fault.KeyExposed{Part: "header"})
	}
	if detector.headerContainsKey(r.Trailer) {
		return errors.WithStack(&fault.KeyExposed{Part: "trailer"})
	}
	return nil
}

// keyDetector searches text for the secret of a request's own key and for the
// active keys of a snapshot.
type keyDetector struct {
	secret   []byte
	snapshot *contract.Snapshot
}

// headerContainsKey reports whether a field other than Authorization contains a
// key in its name or values.
func (d keyDetector) headerContainsKey(header http.Header) bool {
	for name, values := range header {
		if name == "Authorization" {
			continue
		}
		if d.containsKey([]byte(name + " " + strings.Join(values, " "))) {
			return true
		}
	}
	return false
}

// containsKey reports whether text contains a key, plain or escaped. Text with
// maxUnescapeRounds or more layers of escapes counts as containing one.
func (d keyDetector) containsKey(text []byte) bool {
	for range maxUnescapeRounds {
		if bytes.Contains(text, d.secret) || d.containsActiveKey(text) {
			return true
		}
		next := unescape(text)
		if next == nil {
			return false
		}
		text = next
	}
	// The remaining layers of escapes could hide a key.
	return true
}

// containsActiveKey reports whether text contains any active key in plain form.
func (d keyDetector) containsActiveKey(text []byte) bool {
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
		if err == nil && d.isActive(presented) {
			return true
		}
		text = text[at+len(prefix):]
	}
}

// isActive reports whether the key exists, is not withdrawn and has the
// presented secret.
func (d keyDetector) isActive(p contract.PresentedKey) bool {
	key, known := d.snapshot.Keys[p.ID]
	return known && !key.Withdrawn && key.Matches(p.Secret)
}

// isKeyByte reports whether a key may contain b.
func isKeyByte(b byte) bool {
	return b == '_' || b == '-' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

// unescape decodes one layer of percent and JSON escapes anywhere in text. It
// returns nil if there are no escapes.
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

// appendUnescaped appends the decoded form of the escape at the start of text
// to out, and returns the length of the escape, or 0 if text does not start
// with an escape.
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
