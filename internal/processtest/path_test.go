package processtest

import (
	"encoding/json"
	"net/http"
	"testing"

	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/standin"
)

// A fleet whose parts don't fit together answers nobody, though each package's
// tests pass. The caller would get refusals or an answer with missing tokens.
func TestGenerateThroughEveryVM(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b", "c"}, vms: 1, engines: 1, desks: 1})
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
	second, repeated := f.charge(f.vms[1], key, "tree-17", `{"tree":17}`)
	if first != http.StatusOK || second != http.StatusOK || string(charged) != string(repeated) {
		t.Errorf("charge: %d %s, repeated: %d %s", first, charged, second, repeated)
	}
}
