// Package dialtest provides a peer that reports how the connection of a request ended.
package dialtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// UnresponsivePeer is an unresponsive peer: it reads one request and never answers it.
type UnresponsivePeer struct {
	Address string
	// Received is closed when the request has been read.
	Received <-chan struct{}
	// Ended receives the error with which the connection ended, nil after an orderly
	// close.
	Ended <-chan error
}

// NewUnresponsivePeer starts an unresponsive peer on the loopback interface.
func NewUnresponsivePeer(t *testing.T) UnresponsivePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- readRequest(listener, received) }()
	return UnresponsivePeer{Address: listener.Addr().String(), Received: received, Ended: ended}
}

// readRequest reads one request, closes received, and returns the error with which the
// connection ended.
func readRequest(listener net.Listener, received chan<- struct{}) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	if _, err := http.ReadRequest(in); err != nil {
		return err
	}
	close(received)
	_, err = io.Copy(io.Discard, in)
	return err
}

// NewPeer starts a peer on the loopback interface, which serves each connection and closes it then. It returns its
// address.
func NewPeer(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
