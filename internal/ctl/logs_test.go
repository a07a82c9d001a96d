package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/logsink"
)

// newVMLog returns an event recorder that writes the log of a VM to dir as the daemon does.
func newVMLog(t *testing.T, dir, vm string) *event.Recorder {
	t.Helper()
	return newVMLogWithClock(t, dir, vm, time.Now)
}

// tickingClock returns a clock for several VMs that advances by tick at each reading.
func tickingClock(tick time.Duration) func() time.Time {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	return func() time.Time {
		now = now.Add(tick)
		return now
	}
}

func newVMLogWithClock(t *testing.T, dir, vm string, now func() time.Time) *event.Recorder {
	t.Helper()
	file, err := os.Create(filepath.Join(dir, vm+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), file, zapcore.InfoLevel)
	return event.NewRecorder(vm, 64, event.NewClock(now), zap.New(core).With(zap.String("vm", vm)))
}

func runTool(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out, notes bytes.Buffer
	err := NewApp(&out, &notes, nil).Run(arguments)
	return out.String(), err
}

// The owner of a step was killed and another VM took the step over. The operator has only
// the log files of both VMs, which must suffice for the explanation.
func TestStepIsExplainedFromLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := newVMLog(t, dir, "vm-a"), newVMLog(t, dir, "vm-b")
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	a.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	a.Emit(event.SamplesCommitted, event.Subject{Step: "s", Count: 1, Detail: "6ms"})
	a.Emit(event.DependencyLost, event.Subject{Detail: "store"})
	b.Emit(event.DependencyLost, event.Subject{Detail: "before the take-over"})
	b.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 2, Count: 1})
	b.Emit(event.AttemptFailed, event.Subject{Step: "s", Slot: "i", Upstream: "u", Detail: "moved after event 4"})
	b.Emit(event.SamplesCommitted, event.Subject{Step: "s", Count: 2, Detail: "5ms"})
	b.Emit(event.StepEnded, event.Subject{Step: "s"})
	b.Emit(event.DrainStarted, event.Subject{})
	out, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"step s of client account acc: 3 results committed, run by vm-a, then vm-b", "detail=store", "failed attempts of its items, moved: 1", "longest time without a new result"} {
		if !strings.Contains(out, want) {
			t.Errorf("the explanation lacks %q:\n%s", want, out)
		}
	}
	if strings.Contains(out, "drain started") {
		t.Errorf("the explanation has an event after the end of the step:\n%s", out)
	}
	if out, err = runTool(t, "timeline", "--step", "s", "--logs", dir); err != nil || strings.Count(out, "\n") != 7 {
		t.Errorf("timeline: %v\n%s", err, out)
	}
}

// Guards against an outage of the store that is missing from the page of a late step because it
// began before the step. Outages that ended before the step, by an answer of the store or with the
// process, must not be shown.
func TestStepIsExplainedByEarlierOutage(t *testing.T) {
	dir := t.TempDir()
	now := tickingClock(time.Second)
	a, b, c, d := newVMLogWithClock(t, dir, "vm-a", now), newVMLogWithClock(t, dir, "vm-b", now), newVMLogWithClock(t, dir, "vm-c", now), newVMLogWithClock(t, dir, "vm-d", now)
	c.Emit(event.DependencyLost, event.Subject{Detail: "store: ended with the process"})
	c.Emit(event.ProcessStarted, event.Subject{})
	d.Emit(event.DependencyLost, event.Subject{Detail: "store: VM without a part in the step"})
	b.Emit(event.DependencyLost, event.Subject{Detail: "store: ended by an answer"})
	b.Emit(event.DependencyRegained, event.Subject{Detail: "store", Count: 5})
	b.Emit(event.DependencyLost, event.Subject{Detail: "removal of the object x: timeout"})
	b.Emit(event.DependencyLost, event.Subject{Detail: "store: still in force"})
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	b.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	b.Emit(event.DependencyRegained, event.Subject{Detail: "store", Count: 4000})
	b.Emit(event.SamplesCommitted, event.Subject{Step: "s", Count: 3, Detail: "4.1s"})
	c.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 2})
	b.Emit(event.StepEnded, event.Subject{Step: "s"})
	out, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, "dependency lost") != 1 || !strings.Contains(out, "-1000.0 ms  vm-b  DWP-1801 dependency lost: detail=store: still in force") {
		t.Errorf("the explanation does not show exactly the outage in force:\n%s", out)
	}
	if !strings.Contains(out, "longest time without a new result: 3s") {
		t.Errorf("the outage before the step counts as time without results:\n%s", out)
	}
}

// Guards against a step whose acceptance an outage delayed and whose page doesn't show it: the
// outage ended before the first event of the step, at a VM that never owned the step.
func TestStepIsExplainedByOutageDuringAcceptance(t *testing.T) {
	dir := t.TempDir()
	now := tickingClock(time.Second)
	a, b, c, d := newVMLogWithClock(t, dir, "vm-a", now), newVMLogWithClock(t, dir, "vm-b", now), newVMLogWithClock(t, dir, "vm-c", now), newVMLogWithClock(t, dir, "vm-d", now)
	a.Emit(event.DependencySlow, event.Subject{Detail: "store: before the submission", Count: 600})
	c.Emit(event.DependencyLost, event.Subject{Detail: "store: VM without a part in the step"})
	a.Emit(event.DependencyLost, event.Subject{Detail: "store: accepting VM"})
	d.Emit(event.DependencyLost, event.Subject{Detail: "store: VM of an early run"})
	a.Emit(event.DependencyRegained, event.Subject{Detail: "store", Count: 2000})
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3, Detail: "4s"})
	d.Emit(event.StepStartedEarly, event.Subject{Step: "s", Account: "acc", Count: 3})
	b.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	b.Emit(event.StepEnded, event.Subject{Step: "s"})
	out, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"store: accepting VM", "store: VM of an early run", "dependency regained"} {
		if !strings.Contains(out, want) {
			t.Errorf("the explanation lacks %q:\n%s", want, out)
		}
	}
	for _, unwanted := range []string{"before the submission", "VM without a part"} {
		if strings.Contains(out, unwanted) {
			t.Errorf("the explanation has %q:\n%s", unwanted, out)
		}
	}
}

// Guards against a takeover whose page doesn't tell that the owner was found unresponsive. Other
// VMs' findings and those about VMs without a part in the step must not be shown.
func TestStepIsExplainedByUnresponsiveOwner(t *testing.T) {
	dir := t.TempDir()
	now := tickingClock(time.Second)
	a, b, c := newVMLogWithClock(t, dir, "vm-a", now), newVMLogWithClock(t, dir, "vm-b", now), newVMLogWithClock(t, dir, "vm-c", now)
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	a.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	c.Emit(event.PeerUnresponsive, event.Subject{Peer: "vm-a", Count: 3100})
	b.Emit(event.PeerUnresponsive, event.Subject{Peer: "vm-x", Count: 3200})
	b.Emit(event.PeerUnresponsive, event.Subject{Peer: "vm-a", Count: 3300})
	b.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 2})
	b.Emit(event.PeerResponsive, event.Subject{Peer: "vm-a", Count: 4400})
	b.Emit(event.StepEnded, event.Subject{Step: "s"})
	out, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"vm-b  DWP-1701 peer unresponsive: peer=vm-a count=3300", "vm-b  DWP-1702 peer responsive: peer=vm-a"} {
		if !strings.Contains(out, want) {
			t.Errorf("the explanation lacks %q:\n%s", want, out)
		}
	}
	for _, unwanted := range []string{"peer=vm-x", "count=3100"} {
		if strings.Contains(out, unwanted) {
			t.Errorf("the explanation has %q:\n%s", unwanted, out)
		}
	}
}

// Guards against a step that waits for engines and whose page doesn't tell that failure domains are
// evacuated, before or during the step. An evacuation that ended before must not be shown.
func TestStepIsExplainedByEvacuation(t *testing.T) {
	dir := t.TempDir()
	a := newVMLogWithClock(t, dir, "vm-a", tickingClock(time.Second))
	a.Emit(event.DomainEvacuated, event.Subject{Detail: "x", Count: 3})
	a.Emit(event.DomainEvacuated, event.Subject{Detail: "y", Count: 4})
	a.Emit(event.DomainRestored, event.Subject{Detail: "x", Count: 3})
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	a.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	a.Emit(event.DomainEvacuated, event.Subject{Detail: "z", Count: 5})
	a.Emit(event.DomainRestored, event.Subject{Detail: "y", Count: 4})
	a.Emit(event.StepEnded, event.Subject{Step: "s"})
	out, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"-2000.0 ms  vm-a  DWP-1510 failure domain evacuated: count=4 detail=y", "evacuated: count=5 detail=z", "restored: count=4 detail=y"} {
		if !strings.Contains(out, want) {
			t.Errorf("the explanation lacks %q:\n%s", want, out)
		}
	}
	if strings.Contains(out, "detail=x") {
		t.Errorf("the explanation has an evacuation that ended before the step:\n%s", out)
	}
}

// Guards against a step's page that lacks the first events, for example because a VM retains only
// its latest ones, and doesn't say so.
func TestStepWithoutFirstEventIsPartial(t *testing.T) {
	const note = "partial: "
	for _, c := range []struct {
		first event.Number
		want  bool
	}{{event.StepOpened, false}, {event.StepStartedEarly, false}, {event.StepOwned, true}, {event.SamplesCommitted, true}} {
		dir := t.TempDir()
		a := newVMLog(t, dir, "vm-a")
		a.Emit(c.first, event.Subject{Step: "s", Account: "acc"})
		a.Emit(event.StepEnded, event.Subject{Step: "s"})
		if out, err := runTool(t, "explain", "s", "--logs", dir); err != nil || strings.Contains(out, note) != c.want {
			t.Errorf("the explanation from %s on, want partial: %t: %v\n%s", c.first, c.want, err, out)
		}
	}
}

// Guards against a step whose page is that of a refused submission: the submissions of a step have
// its ID as request ID.
func TestStepWithRefusedSubmissionIsExplained(t *testing.T) {
	dir := t.TempDir()
	now := tickingClock(time.Second)
	a, b := newVMLogWithClock(t, dir, "vm-a", now), newVMLogWithClock(t, dir, "vm-b", now)
	a.Emit(event.RequestRefused, event.Subject{Request: "s", Detail: "store_unavailable not_run status 503"})
	a.Emit(event.RequestRefused, event.Subject{Request: "never", Detail: "store_unavailable not_run status 503"})
	b.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	b.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1})
	b.Emit(event.DependencyLost, event.Subject{Detail: "store: timeout"})
	b.Emit(event.SamplesCommitted, event.Subject{Step: "s", Count: 3, Detail: "1s"})
	for id, wants := range map[string][]string{
		"s": {
			"step s of client account acc: 3 results committed, run by vm-b",
			"+0.0 ms     vm-a  the caller got a refusal: store_unavailable not_run status 503",
			"dependency lost: detail=store: timeout", "longest time without a new result: 5s",
		},
		"never": {"request never of client account -: refused, attempts: 0"},
	} {
		out, err := runTool(t, "explain", id, "--logs", dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range wants {
			if !strings.Contains(out, want) {
				t.Errorf("the explanation of %s lacks %q:\n%s", id, want, out)
			}
		}
	}
}

// A step was slow because of its scoring service. The explanation must show which item
// waited longest, which engine generated its text and where its score calls were sent.
func TestItemAndScoresAreExplainedFromLogs(t *testing.T) {
	dir := t.TempDir()
	a := newVMLog(t, dir, "vm-a")
	a.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 2})
	a.Emit(event.AttemptFailed, event.Subject{Step: "s", Slot: "i1", Upstream: "e1", Detail: "broke off after event 4"})
	a.Emit(event.RequestDispatched, event.Subject{Request: "c1", Upstream: "d1", Attempt: 1})
	a.Emit(event.AttemptFailed, event.Subject{Request: "c1", Upstream: "d1", Attempt: 1, Detail: "upstream_failed"})
	a.Emit(event.ScoreFailed, event.Subject{Step: "s", Slot: "i1", Request: "c1", Detail: "upstream_failed", Count: 1})
	a.Emit(event.RequestDispatched, event.Subject{Request: "c1", Upstream: "d2", Attempt: 1})
	a.Emit(event.SampleScored, event.Subject{Step: "s", Slot: "i1", Request: "c1", Upstream: "e2", Count: 2300})
	a.Emit(event.SampleScored, event.Subject{Step: "s", Slot: "i2", Request: "c2", Upstream: "e1", Count: 80})
	step, err := runTool(t, "explain", "s", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 texts scored, the longest wait for a score: 2.3s of item i1", "failed score calls, upstream_failed: 1"} {
		if !strings.Contains(step, want) {
			t.Errorf("the explanation of the step lacks %q:\n%s", want, step)
		}
	}
	item, err := runTool(t, "explain", "i1", "--logs", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"an attempt at upstream e1 failed: broke off after event 4", "attempt 1 goes to upstream d1", "attempt 1 goes to upstream d2",
		"call c1 returned the score 2300 ms after the text was complete; upstream e2 generated the text", "scored",
	} {
		if !strings.Contains(item, want) {
			t.Errorf("the explanation of the item lacks %q:\n%s", want, item)
		}
	}
	if strings.Contains(item, "c2") {
		t.Errorf("the explanation has the score call of another item:\n%s", item)
	}
}

// stalledWriter blocks writes until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *stalledWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against an explanation that hides that the VM dropped events from its log.
func TestDroppedLogLinesAreNoted(t *testing.T) {
	output := &stalledWriter{release: make(chan struct{})}
	sink := logsink.New(output)
	recorder := event.NewRecorder("vm-a", 64, event.NewClock(time.Now), logsink.NewLogger(sink, "vm-a"))
	recorder.Emit(event.StepOpened, event.Subject{Step: "s", Account: "acc", Count: 3})
	for sink.Dropped() == 0 {
		recorder.Emit(event.StepOwned, event.Subject{Step: "s", Epoch: 1, Detail: strings.Repeat("x", 4096)})
	}
	close(output.release)
	for !strings.Contains(output.String(), "step ended") {
		recorder.Emit(event.StepEnded, event.Subject{Step: "s"})
		time.Sleep(time.Millisecond)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "vm-a.log"), []byte(output.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, notes bytes.Buffer
	if err := NewApp(&out, &notes, nil).Run([]string{"explain", "s", "--logs", dir}); err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("the VM dropped %d log lines", sink.Dropped()); !strings.Contains(notes.String(), want) {
		t.Errorf("want the note %q, got:\n%s", want, notes.String())
	}
}

func TestExplainFailsOnLogsWithoutTheRequest(t *testing.T) {
	dir := t.TempDir()
	newVMLog(t, dir, "vm-a")
	if _, err := runTool(t, "explain", "q", "--logs", dir); !fault.Is[*fault.RequestUnknown](err) {
		t.Errorf("explain fails with %v", err)
	}
	if _, err := runTool(t, "explain", "q", "--logs", filepath.Join(dir, "none")); !fault.Is[*fault.BadRequest](err) {
		t.Errorf("explain fails with %v", err)
	}
}
