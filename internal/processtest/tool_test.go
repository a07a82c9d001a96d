package processtest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/ctl"
	"dogwoodpond/internal/entry"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/operator"
)

// environment returns the environment variables that "make run" asks the reader of
// a page to export.
func (f *fleet) environment() []string {
	return append(os.Environ(),
		"PATH="+binaryDir+":"+os.Getenv("PATH"),
		"DOGWOODPOND_ADDRESS="+f.vms[0].operatorAddress,
		"DOGWOODPOND_TOKEN="+operatorToken,
		"DOGWOODPOND_WHO=process test",
		"CALLERS="+f.vms[0].callerAddress,
	)
}

// tool runs dogwoodpondctl and returns its standard output.
func (f *fleet) tool(arguments ...string) string {
	f.t.Helper()
	stdout, stderr, code := f.toolExit(arguments...)
	if code != ctl.ExitOK {
		f.t.Fatalf("dogwoodpondctl %v exited with %d\n%s%s", arguments, code, stdout, stderr)
	}
	return stdout
}

// toolExit runs dogwoodpondctl and returns its output and exit code.
func (f *fleet) toolExit(arguments ...string) (stdout, stderr string, code int) {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaryDir, "dogwoodpondctl"), arguments...)
	command.Env = f.environment()
	var o, n bytes.Buffer
	command.Stdout, command.Stderr = &o, &n
	err := command.Run()
	if command.ProcessState == nil {
		f.t.Fatalf("dogwoodpondctl %v: %v", arguments, err)
	}
	return o.String(), n.String(), command.ProcessState.ExitCode()
}

// toolJSON runs dogwoodpondctl and decodes its JSON output.
func (f *fleet) toolJSON(into any, arguments ...string) {
	f.t.Helper()
	text := f.tool(append([]string{"--output", "json"}, arguments...)...)
	if err := json.Unmarshal([]byte(text), into); err != nil {
		f.t.Fatalf("dogwoodpondctl %v printed %q: %v", arguments, text, err)
	}
}

// awaitAllKnown waits until the first VM knows all VMs, as the platform's list may
// lag.
func (f *fleet) awaitAllKnown() {
	f.t.Helper()
	await(f.t, "the first VM to know all VMs", func() bool {
		var status operator.Status
		f.toolJSON(&status, "status")
		known := slices.DeleteFunc(status.VMs, func(v operator.VMRevision) bool { return !v.Known })
		return len(known) == len(f.vms)
	})
}

// An engine is killed while it runs a request, so the caller receives its complete
// answer late. The timeline must show the operator both attempts and the failure
// between them, in causal order.
func TestTimelineOfARequestWhoseEngineWasKilled(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1, engineArgs: []string{"--token-time", "20ms"}})
	key := f.grant(testContract("strathallan"))
	type reply struct {
		status int
		text   []byte
	}
	replies := make(chan reply, 1)
	go func() {
		status, text := f.generate(f.vms[0], key, "When do the raspberries open?", 512)
		replies <- reply{status, text}
	}()
	var killed upstreamProcess
	await(t, "an engine to run the request", func() bool {
		at := slices.IndexFunc(f.engines, func(e upstreamProcess) bool { return f.counts(e).Started > 0 })
		if at >= 0 {
			killed = f.engines[at]
		}
		return at >= 0
	})
	killed.kill()
	got := <-replies
	var answer entry.GenerateAnswer
	if err := json.Unmarshal(got.text, &answer); err != nil || got.status != http.StatusOK {
		t.Fatalf("the call was answered with %d %s", got.status, got.text)
	}

	var timeline operator.EventsAnswer
	f.toolJSON(&timeline, "timeline", "--request", answer.RequestID)
	want := []event.Number{
		event.RequestAccepted, event.RequestDispatched, event.AttemptFailed, event.RequestDispatched, event.RequestAnswered,
	}
	var selected []event.Record
	for _, e := range timeline.Events {
		if slices.Contains(want, e.Number) {
			selected = append(selected, e)
		}
	}
	var numbers []event.Number
	for i, e := range selected {
		numbers = append(numbers, e.Number)
		if i > 0 && !selected[i-1].Stamp.Before(e.Stamp) {
			t.Errorf("%s at %s is not later than the event before, at %s", e.Number, e.Stamp, selected[i-1].Stamp)
		}
	}
	if !slices.Equal(numbers, want) {
		t.Fatalf("the events of the timeline are %v, want %v:\n%+v", numbers, want, timeline.Events)
	}
	if selected[1].Upstream != killed.ID || selected[2].Upstream != killed.ID || selected[3].Upstream == killed.ID {
		t.Errorf("first attempt at %s, failure at %s, retry at %s; %s was killed", selected[1].Upstream, selected[2].Upstream, selected[3].Upstream, killed.ID)
	}

	var explanation ctl.Explanation
	f.toolJSON(&explanation, "explain", answer.RequestID)
	if explanation.Attempts != 2 || explanation.Outcome != "answered" || explanation.Account != "strathallan" {
		t.Errorf("explain returns %+v", explanation)
	}
	text := f.tool("explain", answer.RequestID)
	for _, part := range []string{"the caller's key was accepted", "at upstream " + killed.ID + " failed", "the caller received the complete answer"} {
		if !strings.Contains(text, part) {
			t.Errorf("the output of explain doesn't contain %q:\n%s", part, text)
		}
	}
}

// The events of a dead VM are lost. The timeline must name the VM, because its reader
// would otherwise take the events shown for all events.
func TestTimelineNamesDeadVM(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1})
	f.awaitAllKnown()
	f.vms[1].kill()
	await(t, "the timeline to name the dead VM", func() bool {
		// The platform removes a dead VM from its list after some seconds. Registering
		// it again keeps it there, also on a slow machine.
		f.register(f.vms[1])
		return strings.Contains(f.tool("timeline"), "missing: VM "+f.vms[1].id)
	})
}

// Auditors ask since when an edit has been in force. The history must show the time
// from which every VM had it.
func TestHistoryShowsWhenAnEditWasInForceOnEveryVM(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1})
	f.awaitAllKnown()
	f.grant(testContract("strathallan"))
	var edits []operator.HistoryEdit
	f.toolJSON(&edits, "contract", "history")
	if len(edits) != 2 {
		t.Fatalf("the history has %d edits, want 2: the contract and the key", len(edits))
	}
	last := edits[1]
	if last.Who != "process test" || last.InForce.Everywhere == nil || len(last.InForce.VMs) != len(f.vms) {
		t.Errorf("the last edit is %+v, want it in force on %d VMs", last, len(f.vms))
	}
	if at := last.InForce.Everywhere; at != nil && at.Before(last.When) {
		t.Errorf("the edit was in force at %s, before it was made at %s", at, last.When)
	}
}

// An operator withdraws a key while a failure domain is cut off. The key may still
// work there for a time, so the command must report the domain and the VM instead of
// only that the edit was accepted.
func TestWithdrawalReportsCutOffFailureDomain(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1})
	bounded := testContract("strathallan")
	bounded.Isolation.ServeSeconds = 77
	f.grant(bounded)
	f.awaitAllKnown()
	f.network.cutOff("a", "b")
	f.network.cutOff("b", "a")
	f.network.cutOff("b", platformEnd)
	await(t, "failure domain b to be reported as cut off", func() bool {
		var status operator.Status
		f.toolJSON(&status, "status")
		at := slices.IndexFunc(status.Domains, func(d operator.Domain) bool { return d.FailureDomain == "b" })
		return at >= 0 && status.Domains[at].CutOff
	})
	stdout, stderr, code := f.toolExit("key", "withdraw", "keystrathallan", "--wait", "1s")
	if code != ctl.ExitPending || !strings.Contains(stderr, f.vms[1].id) {
		t.Errorf("the withdrawal exited with %d: %s", code, stderr)
	}
	want := "failure domain b: vm-b1 (cut off); the key may go on there for up to 77 s after the cut"
	if !strings.Contains(stdout, want) {
		t.Errorf("the output of the withdrawal doesn't contain %q:\n%s", want, stdout)
	}
	f.network.reconnect("a", "b")
	f.network.reconnect("b", "a")
	f.network.reconnect("b", platformEnd)
	await(t, "the withdrawal to be in force everywhere", func() bool {
		var edits []operator.HistoryEdit
		f.toolJSON(&edits, "contract", "history")
		last := edits[len(edits)-1]
		return last.Kind == contract.EditWithdraw && last.InForce.Everywhere != nil && len(last.InForce.VMs) == len(f.vms)
	})
}

// An operator follows the timeline during an outage. It must show each new event
// once.
func TestTimelineFollowShowsNewEvents(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a"}, vms: 1, engines: 1})
	following := start(t, "follow", "dogwoodpondctl", "--address", f.vms[0].operatorAddress, "--token", operatorToken, "timeline", "--follow")
	following.find(t, "process started")
	key := f.grant(testContract("strathallan"))
	if status, text := f.generate(f.vms[0], key, "follow", 16); status != http.StatusOK {
		t.Fatalf("the call was answered with %d %s", status, text)
	}
	following.find(t, "request answered")
	if shown := strings.Count(following.out.String(), "request answered"); shown != 1 {
		t.Errorf("the event of the answer is shown %d times", shown)
	}
}

// runnableBlocks returns the code blocks of a page that are marked "sh run".
func runnableBlocks(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", page))
	if err != nil {
		t.Fatal(err)
	}
	var blocks []string
	for _, part := range strings.Split(string(text), "\n```sh run\n")[1:] {
		block, _, closed := strings.Cut(part, "\n```")
		if !closed {
			t.Fatalf("%s has an unterminated code block", page)
		}
		blocks = append(blocks, block)
	}
	return blocks
}

// A documented command fails when a reader runs it, because the page was not updated
// with the program.
func TestDocumentedCommandsRun(t *testing.T) {
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		t.Run(filepath.Base(page), func(t *testing.T) {
			blocks := runnableBlocks(t, page)
			if len(blocks) == 0 {
				t.Fatalf("%s has no runnable code block", page)
			}
			f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1, services: 1})
			script := "set -euo pipefail\n" + strings.Join(blocks, "\n")
			command := exec.Command("bash", "-c", script)
			command.Dir = t.TempDir()
			command.Env = f.environment()
			if out, err := command.CombinedOutput(); err != nil {
				t.Errorf("the commands of %s failed: %v\n%s", page, err, out)
			}
		})
	}
}
