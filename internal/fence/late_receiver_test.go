package fence

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dial"
)

// orderText is the body of an order.
const orderText = "order"

// A receiver that stood still reads an order that was canceled and whose connection was reset: its
// kernel keeps what arrived before the reset, also on connections that are not accepted yet. A sender
// can't take back an order that has arrived.
func TestReceiverReadsOrderAfterReset(t *testing.T) {
	for name, acceptBeforeReset := range map[string]bool{"accepted after the reset": false, "accepted before the reset": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			order := startOrder(t, "http://"+listener.Addr().String())
			var conn net.Conn
			if acceptBeforeReset {
				conn = accept(t, listener)
			}
			order.cancel()
			if err := <-order.ended; !errors.Is(err, context.Canceled) {
				t.Fatalf("the order ended with %v, want %v", err, context.Canceled)
			}
			if !acceptBeforeReset {
				conn = accept(t, listener)
			}
			defer func() { _ = conn.Close() }()
			awaitReset(t, conn)
			in := bufio.NewReader(conn)
			request, err := http.ReadRequest(in)
			if err != nil {
				t.Fatalf("read the order: %v", err)
			}
			if body, err := io.ReadAll(request.Body); err != nil || string(body) != orderText {
				t.Errorf("the receiver read %q, %v, want %q", body, err, orderText)
			}
			if _, err := in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ended with %v, want a reset", err)
			}
		})
	}
}

// startedOrder is an order in progress. Its last byte has been written.
type startedOrder struct {
	cancel context.CancelFunc
	ended  <-chan error
}

// startOrder sends an order under a lease and returns when its last byte has been written.
func startOrder(t *testing.T, target string) startedOrder {
	t.Helper()
	client := NewClient(time.Minute, time.Minute, newRecorder())
	transport, ok := client.Transport.(dial.Transport)
	if !ok {
		t.Fatalf("the transport is a %T", client.Transport)
	}
	written, dialOrder := make(chan struct{}), transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialOrder(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked, ok := conn.(*dial.Conn)
		if !ok {
			t.Errorf("the connection is a %T", conn)
			return conn, nil
		}
		return &observedConn{checked, written}, nil
	}
	ctx, cancel := context.WithCancel(WithGuard(t.Context(), &fakeGuard{deadline: time.Now().Add(time.Hour)}))
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(orderText))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		ended <- err
	}()
	select {
	case <-written:
	case err := <-ended:
		t.Fatalf("the order ended with %v before it was written", err)
	}
	return startedOrder{cancel, ended}
}

// observedConn closes written when the last byte of the order has been written.
type observedConn struct {
	*dial.Conn
	written chan<- struct{}
}

func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil && bytes.HasSuffix(p, []byte(orderText)) {
		close(c.written)
	}
	return n, err
}

func accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitReset returns when the kernel has received the reset of a connection. It reads nothing.
func awaitReset(t *testing.T, conn net.Conn) {
	t.Helper()
	const closed = 7 // TCP_CLOSE
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("the connection is a %T", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for state := -1; state != closed; time.Sleep(time.Millisecond) {
		var infoErr error
		err := raw.Control(func(fd uintptr) {
			// The first byte of TCP_INFO is the state.
			var info int
			info, infoErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
			state = info & 0xff
		})
		if err := errors.CombineErrors(err, infoErr); err != nil {
			t.Fatal(err)
		}
	}
}
