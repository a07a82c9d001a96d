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

// binaries is the directory of the programs under test.
var binaries string

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
	binaries = dir
	return m.Run()
}

const (
	// patience bounds every wait for a process or a condition. It is far above
	// what a loaded machine needs, so that it only ends a hung test.
	patience   = 60 * time.Second
	pollPeriod = 20 * time.Millisecond
)

// output collects what a process prints.
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

// String returns everything printed so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	out  output
	// exited is closed after the process ended; err is its result.
	exited chan struct{}
	err    error
}

// start runs a program; the end of the test kills it.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
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
		if dir := os.Getenv(variableLogs); dir != "" && t.Failed() {
			p.keepOutput(t, dir)
		}
	})
	return p
}

// variableLogs names a directory that keeps what the processes of failed tests printed.
const variableLogs = "DOGWOODPOND_PROCESS_LOGS"

func (p *process) keepOutput(t testing.TB, dir string) {
	dir = filepath.Join(dir, t.Name())
	err := os.MkdirAll(dir, 0o755)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, p.name+".log"), []byte(p.out.String()), 0o600)
	}
	if err != nil {
		t.Errorf("output of %s: %v", p.name, err)
	}
}

// kill ends the process at once, also when it is paused.
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

// awaitExit waits for the end of the process and returns its result.
func (p *process) awaitExit(t testing.TB) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.err
	case <-time.After(patience):
		t.Fatalf("%s did not stop:\n%s", p.name, p.out.String())
		return nil
	}
}

// find waits for output that matches the pattern and returns its groups.
func (p *process) find(t testing.TB, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	await(t, fmt.Sprintf("%s prints %q", p.name, pattern), func() bool {
		found = re.FindStringSubmatch(p.out.String())
		return found != nil
	})
	return found
}

// await waits until the condition holds.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
		time.Sleep(pollPeriod)
	}
}
