package processtest

import (
	"encoding/json"
	"net/http"
	"testing"

	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/standin"
)

// Packages may pass their own tests but not work together. Callers would then get
// refusals or answers with missing tokens. Every VM must return a complete answer,
// and a duplicate of a keyed call at another VM must return the first answer.
func TestGenerateThroughEveryVM(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b", "c"}, vms: 1, engines: 1, services: 1})
	key := f.grant(testContract("strathallan"))
	const prompt, maxTokens = "When do the raspberries open?", 32
	for _, v := range f.vms {
		status, text := f.generate(v, key, prompt, maxTokens)
		var answer entry.GenerateAnswer
		if err := json.Unmarshal(text, &answer); err != nil || status != http.StatusOK {
			t.Fatalf("%s: %d %s", v.id, status, text)
		}
		if want := standin.AnswerLength(prompt, 0, maxTokens); answer.Tokens != want {
			t.Errorf("%s: %d tokens, want %d", v.id, answer.Tokens, want)
		}
	}
	first, charged := f.charge(f.vms[0], key, "tree-17", `{"tree":17}`)
	second, duplicate := f.charge(f.vms[1], key, "tree-17", `{"tree":17}`)
	if first != http.StatusOK || second != http.StatusOK || string(charged) != string(duplicate) {
		t.Errorf("charge: %d %s, duplicate: %d %s", first, charged, second, duplicate)
	}
}
