package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of a service. It reads requests from its connections by itself, so
// that a case decides on each byte that it sends.
type server struct {
	w                 *world
	number            int
	id, service, zone string
	address           string
	slots             int
	running           atomic.Int32
	// held counts the requests that run or wait, and places holds a value for each that runs.
	held   atomic.Int32
	places chan struct{}

	// mu guards conns, the open connections, and down, which is true while the server is down after a crash.
	mu    sync.Mutex
	conns map[*serverConn]bool
	down  bool
	// handle answers a request, whose body was read. It reports whether the connection stays open.
	handle func(s *server, c *serverConn, r *http.Request, body []byte) bool
}

// serverConn is one connection to a server.
type serverConn struct {
	net.Conn
	// last is the last complete answer that was sent on the connection.
	last []byte
}

// newServer starts a server that isn't listed yet.
func (w *world) newServer(number int, service, zone string, slots int, handle func(s *server, c *serverConn, r *http.Request, body []byte) bool) *server {
	l, err := listenLoopback()
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	s := &server{w: w, number: number, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, address: l.Addr().String(), slots: slots, handle: handle, places: make(chan struct{}, slots), conns: make(map[*serverConn]bool)}
	context.AfterFunc(w.ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(&serverConn{Conn: conn})
		}
	}()
	return s
}

// startServer starts a server and lists it in the platform's store, where it renews its entry.
func (w *world) startServer(number int, service, zone string, slots int, handle func(s *server, c *serverConn, r *http.Request, body []byte) bool) *server {
	s := w.newServer(number, service, zone, slots, handle)
	go func() {
		born := time.Now().UnixMilli()
		for n := 1; ; n++ {
			w.store.put("servers", s.id, object{
				"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
				"cold_remaining_ms": 0, "sequence": n, "born": born,
			})
			select {
			case <-w.ctx.Done():
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return s
}

// crashConnections resets all connections and those that are opened until start is called.
func (s *server) crashConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for c := range s.conns {
		c.reset()
	}
}

func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *server) serveConn(c *serverConn) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		c.reset()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		keep := true
		switch expected := r.Header.Get("X-Dogwoodpond-Expect-Instance"); {
		case expected != "" && expected != s.id:
			keep = c.answer(http.StatusMisdirectedRequest, s.header(r), nil)
		case r.URL.Path == "/health":
			keep = c.answer(http.StatusOK, s.header(r), nil)
		default:
			keep = s.handle(s, c, r, body)
		}
		if !keep {
			return
		}
	}
}

// header returns the header fields that every answer has.
func (s *server) header(r *http.Request) []string {
	fields := []string{
		"X-Dogwoodpond-Instance-Id: " + s.id,
		s.load(),
		"Keep-Alive: timeout=5",
	}
	if id := r.Header.Get("X-Dogwoodpond-Attempt-Id"); id != "" {
		fields = append(fields, "X-Dogwoodpond-Attempt-Id: "+id)
	}
	return fields
}

// load returns the header field with the server's load.
func (s *server) load() string {
	held := int(s.held.Load())
	return fmt.Sprintf("X-Dogwoodpond-Server-Load: %d,%d,%d", min(held, s.slots), max(0, held-s.slots), s.slots)
}

// seal returns the digest of a body.
func seal(body []byte) string {
	sum := sha256.Sum256(body)
	return "X-Dogwoodpond-Response-Seal: " + hex.EncodeToString(sum[:8])
}

// answer sends a complete answer.
func (c *serverConn) answer(status int, fields []string, body []byte) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), strings.Join(fields, "\r\n"), len(body))
	c.last = append([]byte(text), body...)
	_, err := c.Write(c.last)
	return err == nil
}

// startChunked sends the head of an answer in chunks.
func (c *serverConn) startChunked(status int, fields []string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", status, http.StatusText(status), strings.Join(fields, "\r\n"))
	return err == nil
}

// chunk sends a chunk; an empty one ends the answer.
func (c *serverConn) chunk(text string) bool {
	_, err := fmt.Fprintf(c, "%s\r\n%s\r\n", strconv.FormatInt(int64(len(text)), 16), text)
	return err == nil
}
