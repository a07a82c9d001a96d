package relay

import (
	"context"
	"net"
	"testing"
	"time"
)

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Guards against lost answers that don't reach a peer because other peers are gone or don't answer.
func TestLostAnswersReachPeersBesideUnreachableOnes(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	silent, closed, live := listen(t), listen(t), listen(t)
	defer func() { _ = silent.Close() }()
	_ = closed.Close()
	noted := make(chan string, 1)
	go func() {
		_ = Serve(ctx, live, Handlers{NoteLostAnswers: func(suspicions []byte) { noted <- string(suspicions) }})
	}()
	client := NewClient()
	defer func() { _ = client.Close() }()
	addresses := []string{live.Addr().String()}
	for range 2 * maxConcurrentTells {
		addresses = append([]string{silent.Addr().String(), closed.Addr().String()}, addresses...)
	}
	started := time.Now()
	client.TellAll(ctx, addresses, []byte(`[{"a":1}]`))
	select {
	case told := <-noted:
		if told != `[{"a":1}]` {
			t.Errorf("the peer was told %s", told)
		}
	default:
		t.Error("the peer was not told")
	}
	if took := time.Since(started); took > 10*tellTimeout {
		t.Errorf("telling the peers took %s", took)
	}
}
