package dial

import (
	"io"
	"net"
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
