package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const (
	// promptMark and bodyMark stand in everything that callers send here.
	promptMark = "raspberry-prompt-mark"
	bodyMark   = "deposit-body-mark"
)

// Events, logs, metrics and messages are read by many people and kept for long.
// A key in one of them can be used by whoever reads it, and a prompt tells what
// a family wrote.
func TestKeysAndPromptsStayOutOfEventsLogsMetricsAndMessages(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 2, engines: 1, desks: 1, settings: func(s map[string]any) { s["logLevel"] = "debug" }})
	key := f.grant(testContract("strathallan"))
	secret := key[strings.LastIndex(key, "_")+1:]
	v := f.vms[0]
	var messages []string
	call := func(method, path, body string, header func(http.Header)) {
		status, text := f.call(method, "http://"+v.callers+path, []byte(body), header)
		if status != http.StatusOK {
			messages = append(messages, fmt.Sprintf("%s: %d %s", strings.ReplaceAll(path, secret, "S"), status, text))
		}
	}
	generate := func(prompt string, stream bool) string { return string(generateBody(prompt, 16, stream)) }
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMark, true), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMark+secret, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMark, false)+"}", bearer(key))
	call(http.MethodPost, "/v1/generate", `{"`+promptMark+`":1}`, bearer(key))
	call(http.MethodPost, "/v1/generate?key="+secret, generate(promptMark, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), bearer(strings.ReplaceAll(key, "strathallan_", "nobody_")))
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), func(h http.Header) {
		bearer(key)(h)
		h.Set("X-Copy", secret)
	})
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), func(h http.Header) { h.Set("Authorization", key) })
	call(http.MethodGet, "/v1/nothing/"+secret, "", bearer(key))
	call(http.MethodGet, "/v1/steps/"+secret+"/samples", "", bearer(key))
	step := `{"model":"berry-1","maxTokens":16,"groups":[{"id":"g","prompt":"` + promptMark + `","samples":2}]}`
	call(http.MethodPut, "/v1/steps/round-1", step, bearer(key))
	call(http.MethodPut, "/v1/steps/round-1", strings.ReplaceAll(step, promptMark, promptMark+"2"), bearer(key))
	call(http.MethodGet, "/v1/steps/round-1/samples?wait=20", "", bearer(key))
	f.charge(v, key, "tree-17", bodyMark)
	if status, text := f.charge(v, key, "tree-17", bodyMark+"2"); status == http.StatusOK {
		t.Errorf("another body under the same idempotency key answered %s", text)
	} else {
		messages = append(messages, string(text))
	}
	f.desks[0].kill()
	call(http.MethodPost, "/v1/services/desk/deposit", bodyMark, bearer(key))
	f.engines[0].kill()
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), bearer(key))
	f.withdraw("strathallan")
	call(http.MethodPost, "/v1/generate", generate(promptMark, false), bearer(key))

	const wantRefusals = 10
	if len(messages) < wantRefusals {
		t.Errorf("only %d refusals were seen, so the check proves little:\n%s", len(messages), strings.Join(messages, "\n"))
	}
	places := map[string]string{"messages": strings.Join(messages, "\n"), "time line": f.tool("--output", "json", "timeline")}
	for _, vm := range f.vms {
		places["log of "+vm.id] = vm.out.String()
		_, metrics := f.call(http.MethodGet, "http://"+vm.callers+"/metrics", nil, nil)
		places["metrics of "+vm.id] = string(metrics)
	}
	for _, view := range []string{"status", "steps", "usage"} {
		places[view] = f.tool("--output", "json", view)
	}
	for place, text := range places {
		for _, mark := range []string{secret, promptMark, bodyMark} {
			if at := strings.Index(text, mark); at >= 0 {
				t.Errorf("%s holds %q: %s", place, mark, text[max(0, at-120):min(len(text), at+60)])
			}
		}
	}
	if !strings.Contains(places["log of "+v.id], "DWP-1305") || !strings.Contains(places["metrics of "+v.id], "dogwoodpond_requests_refused_total") {
		t.Error("the log or the metrics don't show the refusals, so the check proves little")
	}
}
