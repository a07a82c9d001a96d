package service

import (
	"context"
	"net/http"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/dial/dialtest"
	"dogwoodpond/internal/fault"
)

// Guards against a canceled call that this machine still delivers after a network failure.
func TestCanceledCallIsNotDeliveredLater(t *testing.T) {
	peer := dialtest.NewUnresponsivePeer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failure := make(chan error, 1)
	go func() {
		_, _, err := NewClient().Do(ctx, peer.Address, Call{RequestID: "r1", Method: http.MethodPost, Path: "/deposit", Body: []byte("tree 17")})
		failure <- err
	}()
	<-peer.Received
	cancel()
	if err := <-failure; fault.ExecutionOf(err) != fault.Unknown {
		t.Errorf("the execution of the canceled call is %s", fault.ExecutionOf(err))
	}
	if err := <-peer.Ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}
