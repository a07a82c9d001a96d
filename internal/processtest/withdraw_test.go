package processtest

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An operator withdraws a key at one VM while its caller reads a long stream from
// another VM. That VM must end the stream; otherwise the caller would receive the
// rest of the answer without a valid key.
func TestWithdrawnKeyEndsStreamsOnOtherVMs(t *testing.T) {
	f := startFleet(t, topology{domains: []string{"a", "b"}, vms: 1, engines: 1, engineArgs: []string{"--token-time", "100ms"}})
	key := f.grant(testContract("strathallan"))
	stream := f.openStream(f.vms[1], key, 4096)
	withdrawn := time.Now()
	f.withdraw("strathallan")
	rest := stream.readAll(t)
	t.Logf("the stream ended %v after the withdrawal", time.Since(withdrawn).Round(time.Millisecond))
	if !strings.Contains(rest, `"code":"key_withdrawn"`) {
		t.Errorf("the stream ended with %q", tail(rest))
	}
	if status, answer := f.generate(f.vms[1], key, "again", 8); status != http.StatusUnauthorized {
		t.Errorf("a new call was answered with %d %s", status, answer)
	}
	if seen := f.counts(f.engines[0]).KeysSeen + f.counts(f.engines[1]).KeysSeen; seen != 0 {
		t.Errorf("the engines received the key %d times", seen)
	}
}

// stream is the open event stream of a generate call.
type stream struct {
	response *http.Response
	reader   *bufio.Reader
}

// openStream starts a streamed generate call and waits for its first event.
func (f *fleet) openStream(v *vm, key string, maxTokens int) *stream {
	f.t.Helper()
	s, err := f.tryStream(v, key, maxTokens)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// streamPrompt is a prompt for which the stand-in engine generates a quarter to a
// half of the maximum number of tokens.
const streamPrompt = "Tell me about every field"

func (f *fleet) tryStream(v *vm, key string, maxTokens int) (*stream, error) {
	body := generateBody(streamPrompt, maxTokens, true)
	request, err := http.NewRequest(http.MethodPost, "http://"+v.callerAddress+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	bearer(key)(request.Header)
	response, err := f.http.Do(request)
	if err != nil {
		return nil, err
	}
	f.t.Cleanup(func() { _ = response.Body.Close() })
	s := &stream{response: response, reader: bufio.NewReader(response.Body)}
	_, err = s.reader.Peek(1)
	return s, err
}

// readAll returns the rest of the stream.
func (s *stream) readAll(t testing.TB) string {
	t.Helper()
	var text strings.Builder
	_, err := s.reader.WriteTo(&text)
	if err != nil {
		t.Errorf("the stream was truncated: %v", err)
	}
	return text.String()
}

// tail returns the end of a text for use in an error message.
func tail(text string) string {
	const length = 300
	return text[max(0, len(text)-length):]
}
