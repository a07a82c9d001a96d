package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodpond/internal/dial/dialtest"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

func newTestClient() *Client {
	return NewClient(event.NewRecorder("vm", 64, event.NewClock(time.Now), zap.NewNop()))
}

// Guards against a canceled request that this machine still delivers after a network failure.
func TestCanceledRequestIsNotDeliveredLater(t *testing.T) {
	peer := dialtest.NewUnresponsivePeer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failure := make(chan error, 1)
	client := newTestClient()
	go func() {
		failure <- client.Stream(ctx, peer.Address, CompletionRequest{RequestID: "r1", Model: "berry-1", Prompt: "p", MaxTokens: 4}, nil)
	}()
	<-peer.Received
	cancel()
	if err := <-failure; fault.ExecutionOf(err) != fault.Unknown {
		t.Errorf("the execution of the canceled request is %s", fault.ExecutionOf(err))
	}
	if err := <-peer.Ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// FuzzReadStream reads what an engine may send, and what another process may send
// if addresses are mixed up. readStream must not accept a stream without its
// terminal event as complete, nor deliver a chunk of another request.
func FuzzReadStream(f *testing.F) {
	const chunk = `data: {"id":"r1","choices":[{"offset":0,"tokens":["a"]}]}` + "\n\n"
	for _, seed := range []string{
		"", "data:", chunk, chunk + "data: [DONE]\n\n", "data: [DONE]", ":\n\n", "event: x\nid: 1\nretry: 5\ndata: {}\n\n",
		strings.Repeat("x", 100), "HTTP/1.1 200 OK\r\n\r\n", "data: {\"id\":\"r1\",\"choices\":[{},{}]}\n\n", "\r\r\r", "data: \x00\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		chunks := 0
		err := readStream("engine", "r1", strings.NewReader(text), func(c CompletionChunk) error {
			chunks++
			if c.ID != "r1" || len(c.Choices) != 1 {
				t.Errorf("readStream delivered an invalid chunk: %+v", c)
			}
			return nil
		})
		if err == nil && !strings.Contains(text, DoneEvent) {
			t.Errorf("stream %q has no terminal event, but readStream returned no error", text)
		}
		if err != nil && !fault.Is[*fault.AnswerTruncated](err) && !fault.Is[*fault.UpstreamFailed](err) {
			t.Errorf("stream %q: unexpected error: %v", text, err)
		}
	})
}

// redirectingEngine returns the address of an engine that redirects all requests to another server, and the
// count of the requests that this server received.
func redirectingEngine(t *testing.T) (address string, redirected *atomic.Int64) {
	t.Helper()
	redirected = new(atomic.Int64)
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirected.Add(1) }))
	t.Cleanup(other.Close)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, other.URL+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	t.Cleanup(engine.Close)
	return strings.TrimPrefix(engine.URL, "http://"), redirected
}

// Guards against a prompt that an engine's redirect sends to a server that is no upstream.
func TestRequestsFollowNoRedirect(t *testing.T) {
	address, redirected := redirectingEngine(t)
	client := newTestClient()
	err := client.Stream(t.Context(), address, CompletionRequest{RequestID: "r1", Model: "berry-1", Prompt: "p", MaxTokens: 4}, nil)
	if !fault.Is[*fault.UpstreamFailed](err) || redirected.Load() != 0 {
		t.Errorf("Stream = %v, %d requests followed the redirect", err, redirected.Load())
	}
	if _, err := client.LoadReport(t.Context(), address); err == nil || redirected.Load() != 0 {
		t.Errorf("LoadReport = %v, %d requests followed the redirect", err, redirected.Load())
	}
}

// Guards against an order that an engine's redirect sends to a receiver that was not settled.
func TestOrdersFollowNoRedirect(t *testing.T) {
	address, redirected := redirectingEngine(t)
	err := newTestClient().Order(t.Context(), address, Order{ID: "o1"})
	if !fault.Is[*fault.UpstreamFailed](err) || redirected.Load() != 0 {
		t.Errorf("Order = %v, %d orders followed the redirect", err, redirected.Load())
	}
}
