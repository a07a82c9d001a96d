package engine

import (
	"strings"
	"testing"

	"dogwoodpond/internal/fault"
)

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
