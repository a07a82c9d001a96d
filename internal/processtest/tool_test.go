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

// environment is what "make run" tells the reader of a page to export.
func (f *fleet) environment() []string {
	return append(os.Environ(),
		"PATH="+binaries+":"+os.Getenv("PATH"),
		"DOGWOODPOND_ADDRESS="+f.vms[0].operators,
		"DOGWOODPOND_TOKEN="+operatorToken,
		"DOGWOODPOND_WHO=process test",
		"CALLERS="+f.vms[0].callers,
	)
}

// tool runs dogwoodpondctl and returns its standard output.
func (f *fleet) tool(arguments ...string) string {
	f.t.Helper()
	out, notes, code := f.toolExit(arguments...)
	if code != ctl.ExitOK {
		f.t.Fatalf("dogwoodpondctl %v exits with %d\n%s%s", arguments, code, out, notes)
	}
	return out
}

// toolExit runs dogwoodpondctl and returns what it printed and its exit code.
func (f *fleet) toolExit(arguments ...string) (out, notes string, code int) {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaries, "dogwoodpondctl"), arguments...)
	command.Env = f.environment()
	var o, n bytes.Buffer
	command.Stdout, command.Stderr = &o, &n
	err := command.Run()
	if command.ProcessState == nil {
		f.t.Fatalf("dogwoodpondctl %v: %v", arguments, err)
	}
	return o.String(), n.String(), command.ProcessState.ExitCode()
}

// toolJSON runs dogwoodpondctl and decodes its JSON.
func (f *fleet) toolJSON(into any, arguments ...string) {
	f.t.Helper()
	text := f.tool(append([]string{"--output", "json"}, arguments...)...)
	if err := json.Unmarshal([]byte(text), into); err != nil {
		f.t.Fatalf("dogwoodpondctl %v printed %q: %v", arguments, text, err)
	}
}

// awaitSeen waits until the first VM has heard of all others: the platform's
// list lags behind.
func (f *fleet) awaitSeen() {
	f.t.Helper()
	await(f.t, "the first VM knows all others", func() bool {
		var status operator.Status
		f.toolJSON(&status, "status")
		known := slices.DeleteFunc(status.VMs, func(v operator.VMRevision) bool { return !v.Known })
		return len(known) == len(f.vms)
	})
}

// An engine is killed while it works on a request. The caller gets a whole
// answer, only later; an operator who asks why must see both attempts and the
// failure between them, in the order of cause and effect.
func TestTimelineOfARequestWhoseEngineWasKilled(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1, engineArgs: []string{"--token-time", "20ms"}})
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
	var hit upstreamProcess
	await(t, "an engine runs the request", func() bool {
		at := slices.IndexFunc(f.engines, func(e upstreamProcess) bool { return f.counts(e).Started > 0 })
		if at >= 0 {
			hit = f.engines[at]
		}
		return at >= 0
	})
	hit.kill()
	got := <-replies
	var answer entry.GenerateAnswer
	if err := json.Unmarshal(got.text, &answer); err != nil || got.status != http.StatusOK {
		t.Fatalf("the call answered %d %s", got.status, got.text)
	}

	var line operator.EventsAnswer
	f.toolJSON(&line, "timeline", "--request", answer.RequestID)
	want := []event.Number{
		event.RequestAccepted, event.RequestDispatched, event.AttemptFailed, event.RequestDispatched, event.RequestAnswered,
	}
	var kept []event.Record
	for _, e := range line.Events {
		if slices.Contains(want, e.Number) {
			kept = append(kept, e)
		}
	}
	var numbers []event.Number
	for i, e := range kept {
		numbers = append(numbers, e.Number)
		if i > 0 && !kept[i-1].Stamp.Before(e.Stamp) {
			t.Errorf("%s at %s does not come after %s", e.Number, e.Stamp, kept[i-1].Stamp)
		}
	}
	if !slices.Equal(numbers, want) {
		t.Fatalf("the time line is %v, want %v:\n%+v", numbers, want, line.Events)
	}
	if kept[1].Upstream != hit.ID || kept[2].Upstream != hit.ID || kept[3].Upstream == hit.ID {
		t.Errorf("attempts at %s, failed at %s, again at %s; %s was killed", kept[1].Upstream, kept[2].Upstream, kept[3].Upstream, hit.ID)
	}

	var told ctl.Explanation
	f.toolJSON(&told, "explain", answer.RequestID)
	if told.Attempts != 2 || told.Outcome != "answered" || told.Account != "strathallan" {
		t.Errorf("explain tells %+v", told)
	}
	text := f.tool("explain", answer.RequestID)
	for _, part := range []string{"the caller's key was accepted", "at upstream " + hit.ID + " failed", "the caller got the whole answer"} {
		if !strings.Contains(text, part) {
			t.Errorf("explain lacks %q:\n%s", part, text)
		}
	}
}

// A VM dies. Its events are gone with it; whoever reads the time line must learn
// that something lacks instead of taking it for all that happened.
func TestTimelineNamesTheVMThatIsGone(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1})
	f.awaitSeen()
	f.vms[1].kill()
	await(t, "the time line names the dead VM", func() bool {
		// The platform drops a dead VM from its list after some seconds; this
		// keeps it there however slow the machine is.
		f.register(f.vms[1])
		return strings.Contains(f.tool("timeline"), "missing: VM "+f.vms[1].id)
	})
}

// A board asks when an edit was in force.
func TestHistoryShowsWhenAnEditWasInForceOnEveryVM(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1})
	f.awaitSeen()
	f.grant(testContract("strathallan"))
	var edits []operator.HistoryEdit
	f.toolJSON(&edits, "contract", "history")
	if len(edits) != 2 {
		t.Fatalf("history has %d edits, want the contract and the key", len(edits))
	}
	last := edits[1]
	if last.Who != "process test" || last.InForce.Everywhere == nil || len(last.InForce.VMs) != len(f.vms) {
		t.Errorf("the last edit is %+v, want it in force on %d VMs", last, len(f.vms))
	}
	if at := last.InForce.Everywhere; at != nil && at.Before(last.When) {
		t.Errorf("in force at %s, before it was made at %s", at, last.When)
	}
}

// A key must stop working while a failure domain is cut off. An operator who
// reads only "accepted" goes home, and the key goes on working there.
func TestWithdrawalSaysThatAFailureDomainIsCutOff(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1})
	bounded := testContract("strathallan")
	bounded.Isolation.ServeSeconds = 77
	f.grant(bounded)
	f.awaitSeen()
	f.network.cut("a", "b")
	f.network.cut("b", "a")
	f.network.cut("b", platformPlace)
	await(t, "failure domain b counts as cut off", func() bool {
		var status operator.Status
		f.toolJSON(&status, "status")
		at := slices.IndexFunc(status.Domains, func(d operator.Domain) bool { return d.FailureDomain == "b" })
		return at >= 0 && status.Domains[at].CutOff
	})
	out, notes, code := f.toolExit("key", "withdraw", "keystrathallan", "--wait", "1s")
	if code != ctl.ExitPending || !strings.Contains(notes, f.vms[1].id) {
		t.Errorf("the withdrawal exits with %d: %s", code, notes)
	}
	want := "failure domain b: vm-b1 (cut off); the key may go on there for up to 77 s after the cut"
	if !strings.Contains(out, want) {
		t.Errorf("the withdrawal does not say %q:\n%s", want, out)
	}
	f.network.heal("a", "b")
	f.network.heal("b", "a")
	f.network.heal("b", platformPlace)
	await(t, "the withdrawal is in force everywhere", func() bool {
		var edits []operator.HistoryEdit
		f.toolJSON(&edits, "contract", "history")
		last := edits[len(edits)-1]
		return last.Kind == contract.EditWithdraw && last.InForce.Everywhere != nil && len(last.InForce.VMs) == len(f.vms)
	})
}

// Whoever follows the time line during an outage must see what happens now.
func TestTimelineFollows(t *testing.T) {
	f := startFleet(t, shape{domains: []string{"a"}, vms: 1, engines: 1})
	following := start(t, "follow", "dogwoodpondctl", "--address", f.vms[0].operators, "--token", operatorToken, "timeline", "--follow")
	following.find(t, "process started")
	key := f.grant(testContract("strathallan"))
	if status, text := f.generate(f.vms[0], key, "follow", 16); status != http.StatusOK {
		t.Fatalf("the call answered %d %s", status, text)
	}
	following.find(t, "request answered")
	if again := strings.Count(following.out.String(), "request answered"); again != 1 {
		t.Errorf("the answer is shown %d times", again)
	}
}

// runnable returns the blocks of a page that are marked "sh run".
func runnable(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", page))
	if err != nil {
		t.Fatal(err)
	}
	var blocks []string
	for _, part := range strings.Split(string(text), "\n```sh run\n")[1:] {
		block, _, closed := strings.Cut(part, "\n```")
		if !closed {
			t.Fatalf("%s has a block without an end", page)
		}
		blocks = append(blocks, block)
	}
	return blocks
}

// A reader copies a command from a page and it fails: the page was written for
// an earlier version.
func TestCommandsOnThePagesRun(t *testing.T) {
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		t.Run(filepath.Base(page), func(t *testing.T) {
			blocks := runnable(t, page)
			if len(blocks) == 0 {
				t.Fatalf("%s has no runnable block", page)
			}
			f := startFleet(t, shape{domains: []string{"a", "b"}, vms: 1, engines: 1, desks: 1})
			script := "set -euo pipefail\n" + strings.Join(blocks, "\n")
			command := exec.Command("bash", "-c", script)
			command.Dir = t.TempDir()
			command.Env = f.environment()
			if out, err := command.CombinedOutput(); err != nil {
				t.Errorf("the commands of %s: %v\n%s", page, err, out)
			}
		})
	}
}
