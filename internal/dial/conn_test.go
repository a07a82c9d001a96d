package dial

import (
	"io"
	"net"
	"slices"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a request that is written although its caller was told that it did
// not run.
func TestWithdrawnRequestIsNeverWritten(t *testing.T) {
	near, far := net.Pipe()
	conn := NewConn(near)
	conn.Begin()
	if !conn.Withdraw() {
		t.Fatal("a request of which nothing was written can't be withdrawn")
	}
	if _, err := conn.Write([]byte("GET")); !errors.Is(err, errWithdrawn) {
		t.Errorf("Write of a withdrawn request: %v", err)
	}
	_ = near.Close()
	if got, _ := io.ReadAll(far); len(got) > 0 {
		t.Errorf("the peer read %q", got)
	}
}

// Guards against a request that counts as possibly executed, and is billed, although its
// peer had reset the reused connection and received nothing.
func TestRequestOfAFailedWriteIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	conn := NewConn(near)
	conn.Begin()
	if n, err := conn.Write([]byte("GET")); n != 0 || err == nil {
		t.Fatalf("Write to a closed peer: %d bytes, %v", n, err)
	}
	if !conn.Withdraw() {
		t.Error("a request of which nothing was written can't be withdrawn")
	}
}

// Guards against a caller that is told that its request did not run although the peer
// has read it.
func TestWrittenRequestIsNotWithdrawn(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := NewConn(near)
	for range 2 {
		conn.Begin()
		if _, err := conn.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		if conn.Withdraw() {
			t.Error("a written request was withdrawn")
		}
	}
}

// Guards against an upstream that ends unnoticed while its connections are idle.
func TestEndOfIdleConnectionIsNoted(t *testing.T) {
	for name, end := range map[string]struct {
		read error
		want []bool
	}{
		"closed by the peer": {read: io.EOF, want: []bool{true}},
		"failed":             {read: io.ErrUnexpectedEOF, want: []bool{false}},
		"closed here":        {read: net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			var noted []bool
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			conn := NewConn(failingConn{near, end.read})
			conn.disconnected = func(orderly bool) { noted = append(noted, orderly) }
			for range 2 {
				_, _ = conn.Read(make([]byte, 1))
			}
			if !slices.Equal(noted, end.want) {
				t.Errorf("noted %v, want %v", noted, end.want)
			}
		})
	}
}

// failingConn is a connection whose reads fail.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Read([]byte) (int, error) { return 0, c.err }

// endingConn is a connection whose writes fail and whose reads end in an orderly way.
type endingConn struct {
	net.Conn
	// write is called by Write.
	write func() error
}

func (c endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c endingConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Guards against an answer that passes for complete because the reset of its connection was reported to a write.
func TestEndIsOrderlyOnlyAfterTheRequest(t *testing.T) {
	written, reset := func() error { return nil }, func() error { return syscall.ECONNRESET }
	for name, c := range map[string]struct {
		write   func() error
		tracked bool
		want    error
	}{
		"written":             {written, false, io.EOF},
		"failed write":        {reset, false, syscall.ECONNRESET},
		"not known as whole":  {written, true, syscall.ECONNRESET},
		"tracked, then reset": {reset, true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			conn := NewConn(endingConn{write: c.write})
			if c.tracked {
				new(Tracker).Begin(conn)
			}
			_, _ = conn.Write([]byte("POST"))
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("Read: %v, want %v", err, c.want)
			}
		})
	}
	t.Run("during a write", func(t *testing.T) {
		var conn *Conn
		conn = NewConn(endingConn{write: func() error {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("Read: %v", err)
			}
			return nil
		}})
		_, _ = conn.Write([]byte("POST"))
	})
}
