package dialtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// malformedHeads are heads of answers that are no answers in HTTP/1.1, by name: the status line, and a field line.
var malformedHeads = map[string]struct{ status, field string }{
	"status 000":                       {"HTTP/1.1 000 None", "X-Other: a"},
	"status 099":                       {"HTTP/1.1 099 Low", "X-Other: a"},
	"status +20":                       {"HTTP/1.1 +20 Sign", "X-Other: a"},
	"status 101 that nobody asked for": {"HTTP/1.1 101 Switching Protocols", "X-Other: a"},
	"status 600":                       {"HTTP/1.1 600 High", "X-Other: a"},
	"status 999":                       {"HTTP/1.1 999 High", "X-Other: a"},
	"a status of two digits":           {"HTTP/1.1 20 Short", "X-Other: a"},
	"HTTP/2.0":                         {"HTTP/2.0 200 OK", "X-Other: a"},
	"a blank in a name":                {"HTTP/1.1 200 OK", "X Other: a"},
	"a blank after a name":             {"HTTP/1.1 200 OK", "X-Other : a"},
	"a blank in a name, on 500":        {"HTTP/1.1 500 Error", "X Other: a"},
	"a blank in Content-Length":        {"HTTP/1.1 200 OK", "Content Length: 2"},
	"a blank after Content-Length":     {"HTTP/1.1 200 OK", "Content-Length : 2"},
	"a blank after Transfer-Encoding":  {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked"},
	"a control byte in a name":         {"HTTP/1.1 200 OK", "X-Ot\x01her: a"},
	"a tab in a name":                  {"HTTP/1.1 200 OK", "X-Ot\ther: a"},
	"DEL in a name":                    {"HTTP/1.1 200 OK", "X-Ot\x7fher: a"},
	"UTF-8 in a name":                  {"HTTP/1.1 200 OK", "X-Öther: a"},
	"a separator in a name":            {"HTTP/1.1 200 OK", "X-(Other): a"},
	"an empty name":                    {"HTTP/1.1 200 OK", ": a"},
	"a control byte in a value":        {"HTTP/1.1 200 OK", "X-Other: a\x01b"},
}

// CheckMalformedHeads guards against answers with malformed heads that are taken for answers: it makes calls to peers
// that send them, each of which must fail. fields are the field lines of a proper answer, and body is its body. The
// proper answer itself must be taken.
func CheckMalformedHeads(t *testing.T, fields, body string, call func(t *testing.T, address string) error) {
	t.Helper()
	t.Run("proper", func(t *testing.T) {
		if err := call(t, newHeadPeer(t, "HTTP/1.1 200 OK\r\n"+fields+"X-Other: a\r\n", body)); err != nil {
			t.Errorf("a proper answer: %v", err)
		}
	})
	for name, head := range malformedHeads {
		for _, order := range []string{"before", "after"} {
			text := head.status + "\r\n" + head.field + "\r\n" + fields
			if order == "after" {
				text = head.status + "\r\n" + fields + head.field + "\r\n"
			}
			t.Run(name+", "+order+" the others", func(t *testing.T) {
				if err := call(t, newHeadPeer(t, text, body)); err == nil {
					t.Error("the answer was taken")
				}
			})
		}
	}
}

// newHeadPeer starts a peer that answers each request with a head and a body, and returns its address.
func newHeadPeer(t *testing.T, head, body string) string {
	t.Helper()
	answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return NewPeer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
}
