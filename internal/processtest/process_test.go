package processtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaryDir is the directory of the programs under test.
var binaryDir string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "dogwoodpond/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

const (
	// waitTimeout limits the wait for a process or a condition. It is much longer
	// than a loaded machine needs, so that it only ends a test that hangs.
	waitTimeout = 60 * time.Second
	// pollInterval is the interval at which await checks its condition.
	pollInterval = 20 * time.Millisecond
)

// output collects the standard output and error of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns all output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a program that start has started.
type process struct {
	name string
	cmd  *exec.Cmd
	out  output
	// exited is closed when the process has ended; err is valid from then on.
	exited chan struct{}
	err    error
}

// start starts a program. It is killed when the test ends.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaryDir, program), args...)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		if dir := os.Getenv(envLogDir); dir != "" && t.Failed() {
			p.saveOutput(t, dir)
		}
	})
	return p
}

// envLogDir is the environment variable that names a directory for the output of
// the processes of failed tests.
const envLogDir = "DOGWOODPOND_PROCESS_LOGS"

func (p *process) saveOutput(t testing.TB, dir string) {
	dir = filepath.Join(dir, t.Name())
	err := os.MkdirAll(dir, 0o755)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, p.name+".log"), []byte(p.out.String()), 0o600)
	}
	if err != nil {
		t.Errorf("save output of %s: %v", p.name, err)
	}
}

// kill sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for
// its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal, for example SIGTERM, SIGSTOP or SIGCONT.
func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// awaitExit waits until the process ends and returns the error of its
// exec.Cmd.Wait.
func (p *process) awaitExit(t testing.TB) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.err
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within the timeout:\n%s", p.name, p.out.String())
		return nil
	}
}

// find waits for output that matches the pattern and returns the submatches.
func (p *process) find(t testing.TB, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	await(t, fmt.Sprintf("%s to print %q", p.name, pattern), func() bool {
		found = re.FindStringSubmatch(p.out.String())
		return found != nil
	})
	return found
}

// await waits until the condition holds. The test fails after waitTimeout.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}
