// Package promptcache tracks which parts of prompts the engines keep, as far as this VM has sent
// them. It answers loads whose requests share long prefixes: many groups on few engines, and prompts
// that are used by most requests. It reads no clock and does no I/O. A wrong entry costs one reading.
package promptcache

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

const (
	// MaxParts is the largest number of parts of one prompt.
	MaxParts = 64
	// MaxPromptTokens is the largest number of tokens of one prompt.
	MaxPromptTokens = 4 << 20
	// maxIDDigits is the largest number of hexadecimal digits in the ID of a part.
	maxIDDigits = 16
	// maxListBytes is the largest size of a list: MaxParts of the longest parts.
	maxListBytes = MaxParts * (maxIDDigits + 1 + 8)
)

// Part is a part of a prompt. Equal parts after equal parts have equal IDs.
type Part struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// Prompt is the list of a prompt's parts, in order. The last part belongs to the request itself.
type Prompt []Part

// Tokens returns the number of tokens of all parts.
func (p Prompt) Tokens() int {
	tokens := 0
	for _, part := range p {
		tokens += part.Tokens
	}
	return tokens
}

// Shared returns the parts that other requests can share.
func (p Prompt) Shared() Prompt {
	if len(p) == 0 {
		return nil
	}
	return p[:len(p)-1]
}

// Parse parses a list of parts, "ID:TOKENS" separated by commas, with the IDs in hexadecimal. A list
// that is malformed, too long or repeats a part gives a fault.BadRequest for the field name, which
// contains nothing of the list; the request is served without the list. promptTokens is what the
// request says about the length of its prompt, 0 if it says nothing; another sum is a contradiction.
func Parse(field, list string, promptTokens int) (Prompt, error) {
	if len(list) > maxListBytes {
		return nil, badList(field, "the list is too long")
	}
	if strings.Count(list, ",") >= MaxParts {
		return nil, badList(field, "the list has too many parts")
	}
	var prompt Prompt
	known := make(map[uint64]bool)
	total := 0
	for text := range strings.SplitSeq(list, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(text), ":")
		if !ok || len(id) > maxIDDigits {
			return nil, badList(field, "a part is not ID:TOKENS")
		}
		part, idErr := strconv.ParseUint(id, 16, 64)
		tokens, countErr := strconv.ParseUint(count, 10, 31)
		if idErr != nil || countErr != nil || tokens == 0 {
			return nil, badList(field, "a part is not ID:TOKENS")
		}
		if known[part] {
			return nil, badList(field, "a part occurs twice")
		}
		known[part] = true
		if total += int(tokens); total > MaxPromptTokens {
			return nil, badList(field, "the prompt has too many tokens")
		}
		prompt = append(prompt, Part{ID: part, Tokens: int(tokens)})
	}
	if promptTokens > 0 && total != promptTokens {
		return nil, badList(field, "the parts contradict the number of prompt tokens")
	}
	return prompt, nil
}

func badList(field, problem string) error {
	return errors.WithStack(&fault.BadRequest{Field: field, Problem: problem})
}
