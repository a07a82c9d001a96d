package relay

import (
	"context"
	"net"
	"testing"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"dogwoodpond/internal/fault"
)

// Guards against an early run that waits for a VM that has ended or is of a build without the call.
func TestHoldEarlyFailsWithoutAnAnswer(t *testing.T) {
	client := NewClient()
	t.Cleanup(func() { _ = client.Close() })
	sender := Process{VM: "a", Incarnation: "a-1"}
	serve := func(serve func(ctx context.Context, listener net.Listener)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go serve(ctx, listener)
		return listener.Addr().String()
	}
	holds := serve(func(ctx context.Context, listener net.Listener) {
		_ = Serve(ctx, listener, Handlers{HoldEarly: func(step string, sender Process) Process {
			return Process{VM: sender.VM + " " + step, Incarnation: sender.Incarnation}
		}})
	})
	if holder, err := client.HoldEarly(t.Context(), holds, "s", sender); err != nil || holder != (Process{VM: "a s", Incarnation: "a-1"}) {
		t.Errorf("HoldEarly = %v, %v", holder, err)
	}
	older := serve(func(ctx context.Context, listener net.Listener) {
		_ = drpcserver.New(drpcmux.New()).Serve(ctx, listener)
	})
	for _, address := range []string{older, "127.0.0.1:1"} {
		if _, err := client.HoldEarly(t.Context(), address, "s", sender); !fault.Is[*fault.PeerUnavailable](err) {
			t.Errorf("HoldEarly at %s fails with %v", address, err)
		}
	}
}
