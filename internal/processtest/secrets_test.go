package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const (
	// promptMarker and bodyMarker are in every prompt and every body that callers
	// send in this test.
	promptMarker = "raspberry-prompt-mark"
	bodyMarker   = "deposit-body-mark"
)

// Events, logs, metrics and error messages are read by many people and stored for a
// long time. A key in one of them could be misused by a reader, and a prompt would
// disclose private data.
func TestKeysAndPromptsStayOutOfEventsLogsMetricsAndMessages(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 2, engines: 1, services: 1, settings: func(s map[string]any) { s["logLevel"] = "debug" }})
	key := f.grant(testContract("strathallan"))
	secret := key[strings.LastIndex(key, "_")+1:]
	v := f.vms[0]
	var messages []string
	call := func(method, path, body string, header func(http.Header)) {
		status, text := f.call(method, "http://"+v.callerAddress+path, []byte(body), header)
		if status != http.StatusOK {
			messages = append(messages, fmt.Sprintf("%s: %d %s", strings.ReplaceAll(path, secret, "S"), status, text))
		}
	}
	generate := func(prompt string, stream bool) string { return string(generateBody(prompt, 16, stream)) }
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMarker, true), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMarker+secret, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false)+"}", bearer(key))
	call(http.MethodPost, "/v1/generate", `{"`+promptMarker+`":1}`, bearer(key))
	call(http.MethodPost, "/v1/generate?key="+secret, generate(promptMarker, false), bearer(key))
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), bearer(strings.ReplaceAll(key, "strathallan_", "nobody_")))
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), func(h http.Header) {
		bearer(key)(h)
		h.Set("X-Copy", secret)
	})
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), func(h http.Header) { h.Set("Authorization", key) })
	call(http.MethodGet, "/v1/nothing/"+secret, "", bearer(key))
	call(http.MethodGet, "/v1/steps/"+secret+"/samples", "", bearer(key))
	step := `{"model":"berry-1","maxTokens":16,"groups":[{"id":"g","prompt":"` + promptMarker + `","samples":2}]}`
	call(http.MethodPut, "/v1/steps/round-1", step, bearer(key))
	call(http.MethodPut, "/v1/steps/round-1", strings.ReplaceAll(step, promptMarker, promptMarker+"2"), bearer(key))
	call(http.MethodGet, "/v1/steps/round-1/samples?wait=20", "", bearer(key))
	f.charge(v, key, "tree-17", bodyMarker)
	if status, text := f.charge(v, key, "tree-17", bodyMarker+"2"); status == http.StatusOK {
		t.Errorf("a call with a used idempotency key and another body was answered with %s", text)
	} else {
		messages = append(messages, string(text))
	}
	f.services[0].kill()
	call(http.MethodPost, "/v1/services/desk/deposit", bodyMarker, bearer(key))
	f.engines[0].kill()
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), bearer(key))
	f.withdraw("strathallan")
	call(http.MethodPost, "/v1/generate", generate(promptMarker, false), bearer(key))

	const wantRefusals = 10
	if len(messages) < wantRefusals {
		t.Errorf("only %d refusals, at least 10 are needed for a meaningful check:\n%s", len(messages), strings.Join(messages, "\n"))
	}
	outputs := map[string]string{"messages": strings.Join(messages, "\n"), "timeline events": f.tool("--output", "json", "timeline")}
	for _, vm := range f.vms {
		outputs["log of "+vm.id] = vm.out.String()
		_, metrics := f.call(http.MethodGet, "http://"+vm.callerAddress+"/metrics", nil, nil)
		outputs["metrics of "+vm.id] = string(metrics)
	}
	for _, view := range []string{"status", "steps", "usage"} {
		outputs[view] = f.tool("--output", "json", view)
	}
	for name, text := range outputs {
		for _, marker := range []string{secret, promptMarker, bodyMarker} {
			if at := strings.Index(text, marker); at >= 0 {
				t.Errorf("%s contains %q: %s", name, marker, text[max(0, at-120):min(len(text), at+60)])
			}
		}
	}
	if !strings.Contains(outputs["log of "+v.id], "DWP-1305") || !strings.Contains(outputs["metrics of "+v.id], "dogwoodpond_requests_refused_total") {
		t.Error("the log or the metrics don't contain the refusals, so the check is not meaningful")
	}
}
