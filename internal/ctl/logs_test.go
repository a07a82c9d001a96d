package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// logOf writes the log of one VM, as its process does, and returns its recorder.
func logOf(t *testing.T, dir, vm string) *event.Recorder {
	t.Helper()
	file, err := os.Create(filepath.Join(dir, vm+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), file, zapcore.InfoLevel)
	return event.NewRecorder(vm, 64, event.NewClock(time.Now), zap.New(core).With(zap.String("vm", vm)))
}

func runTool(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out, notes bytes.Buffer
	err := NewApp(&out, &notes).Run(arguments)
	return out.String(), err
}

// A step was run by a VM that was killed, and by its successor. The operator has only
// the files that both left behind.
func TestStepIsExplainedFromLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := logOf(t, dir, "vm-a"), logOf(t, dir, "vm-b")
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
	for _, want := range []string{"step s of client account acc: 3 results listed, run by vm-a, then vm-b", "detail=store", "failed runs of its items, moved: 1", "longest time without a new result"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not told:\n%s", want, out)
		}
	}
	if strings.Contains(out, "drain started") {
		t.Errorf("what came after the step's end is told:\n%s", out)
	}
	if out, err = runTool(t, "timeline", "--step", "s", "--logs", dir); err != nil || strings.Count(out, "\n") != 7 {
		t.Errorf("timeline: %v\n%s", err, out)
	}
}

func TestLogsThatTellNothing(t *testing.T) {
	dir := t.TempDir()
	logOf(t, dir, "vm-a")
	if _, err := runTool(t, "explain", "q", "--logs", dir); !fault.Is[*fault.RequestUnknown](err) {
		t.Errorf("explain fails with %v", err)
	}
	if _, err := runTool(t, "explain", "q", "--logs", filepath.Join(dir, "none")); !fault.Is[*fault.BadRequest](err) {
		t.Errorf("explain fails with %v", err)
	}
}
