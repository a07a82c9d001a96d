package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a connection of a client to a machine.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func dialClient(m *machine) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// outcome is what a client got for one attempt.
type outcome struct {
	status int
	header http.Header
	body   []byte
	// err is set if the connection ended without a complete answer, or the time limit passed.
	err error
	// sent is when the last byte of the request was sent, ended when the answer or the connection ended.
	sent, ended time.Time
	closes      bool
}

// do sends a request with a key and reads its answer.
func (c *clientConn) do(method, path, id string, limit time.Duration, body []byte, fields ...string) (o outcome) {
	head := []string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Dogwoodpond-Attempt-Id: " + id,
		fmt.Sprintf("X-Dogwoodpond-Deadline-Ms: %d", limit.Milliseconds()), "Authorization: Token " + key,
		fmt.Sprintf("Content-Length: %d", len(body)),
	}
	head = append(head, fields...)
	_ = c.SetDeadline(time.Now().Add(limit + 1500*time.Millisecond))
	_, o.err = c.Write(append([]byte(strings.Join(head, "\r\n")+"\r\n\r\n"), body...))
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	if o.err != nil {
		return o
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.header, o.closes = response.StatusCode, response.Header, response.Close
	o.body, o.err = io.ReadAll(response.Body)
	return o
}
