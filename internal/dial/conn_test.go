package dial

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a request that is promised not to have run and is written after all.
func TestWithdrawnRequestIsNeverWritten(t *testing.T) {
	near, far := net.Pipe()
	conn := NewConn(near)
	conn.Begin()
	if !conn.Withdraw() {
		t.Fatal("a request of which nothing was written can't be withdrawn")
	}
	if _, err := conn.Write([]byte("GET")); !errors.Is(err, errWithdrawn) {
		t.Errorf("the write ended with %v", err)
	}
	_ = near.Close()
	if got, _ := io.ReadAll(far); len(got) > 0 {
		t.Errorf("the peer read %q", got)
	}
}

// Guards against a request that counts as one that may have run, and is billed, though its
// peer had reset the kept connection and took none of it.
func TestRequestOfAFailedWriteIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	conn := NewConn(near)
	conn.Begin()
	if n, err := conn.Write([]byte("GET")); n != 0 || err == nil {
		t.Fatalf("%d bytes written to a closed peer, %v", n, err)
	}
	if !conn.Withdraw() {
		t.Error("a request of which nothing was written can't be withdrawn")
	}
}

// Guards against a request that is promised not to have run though its peer has read it.
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
