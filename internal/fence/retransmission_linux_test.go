package fence

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// senderTarget is the variable of the environment that lets the test binary send one
	// order to the address in it, instead of running tests.
	senderTarget = "DOGWOODPOND_FENCE_TEST_TARGET"
	// senderTimeout is the timeout of that order.
	senderTimeout = time.Second
	writtenLine   = "written\n"
	// maxTCPHeader is the maximum size of a TCP header in bytes.
	maxTCPHeader = 60
)

func TestMain(m *testing.M) {
	if target := os.Getenv(senderTarget); target != "" {
		sendFromChild(target)
		return
	}
	os.Exit(m.Run())
}

// sendFromChild sends an order, and prints writtenLine once it is written.
func sendFromChild(target string) {
	guard := &fakeGuard{deadline: time.Now().Add(time.Hour)}
	ctx := httptrace.WithClientTrace(WithGuard(context.Background(), guard), &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { _, _ = os.Stdout.WriteString(writtenLine) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, strings.NewReader("order"))
	if err != nil {
		panic(err)
	}
	if response, err := NewClient(senderTimeout, senderTimeout, newRecorder()).Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// startPausedSender starts a process that sends an order to target, and stops it once it
// has written the order.
func startPausedSender(t *testing.T, target string) {
	t.Helper()
	sender := exec.Command(os.Args[0])
	sender.Env = append(os.Environ(), senderTarget+"="+target)
	sender.Stderr = os.Stderr
	stdout, err := sender.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := sender.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = sender.Process.Kill()
		_ = sender.Wait()
	})
	if line, err := bufio.NewReader(stdout).ReadString('\n'); line != writtenLine {
		t.Fatalf("the sender printed %q: %v", line, err)
	}
	if err := sender.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(sender.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("the sender did not stop: %v, %v", status, err)
	}
}

// setOption calls set with the file descriptor of a socket.
func setOption(t *testing.T, socket syscall.Conn, set func(fd int) error) {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = set(int(fd)) }); err != nil || failure != nil {
		t.Fatal(err, failure)
	}
}

// dropPayload makes the socket, and those that it accepts, drop incoming segments with a
// payload, like a link that has failed after the connection was established.
func dropPayload(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
		{Code: unix.BPF_JMP | unix.BPF_JGT | unix.BPF_K, Jf: 1, K: maxTCPHeader},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

func acceptPayload(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
}

// Guards against an order that the sender's kernel delivers while its process is paused,
// long after its timeout and when another VM holds the lease.
func TestOrderOfAPausedSenderIsNotDeliveredAfterItsTimeout(t *testing.T) {
	// Multipath sockets have no filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	setOption(t, listener.(*net.TCPListener), dropPayload)
	startPausedSender(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	time.Sleep(2 * senderTimeout)
	setOption(t, conn.(*net.TCPConn), acceptPayload)
	// The kernel sends again 3 s after the first time, if it does so at all.
	if err := conn.SetReadDeadline(time.Now().Add(3 * senderTimeout)); err != nil {
		t.Fatal(err)
	}
	n, err := conn.Read(make([]byte, 1<<10))
	if n > 0 {
		t.Errorf("%d bytes of an order arrived while its sender was paused", n)
	} else if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection ended with %v: the sender gave up before it was stopped", err)
	}
}
