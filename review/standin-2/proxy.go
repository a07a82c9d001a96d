package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. Open connections can go silent: they are not closed, and
// nothing passes any more.
type proxy struct {
	address, target string
	// told, if set, gets what clients send.
	told atomic.Pointer[func(text string)]

	mu    sync.Mutex
	conns map[*proxied]bool
}

type proxied struct {
	p              *proxy
	client, server net.Conn
	silent         atomic.Bool

	mu sync.Mutex
	// request is the first line of the request that was sent last.
	request string
}

func newProxy(listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		cannotRun("listen on %s: %v", listen, err)
	}
	p := &proxy{address: l.Addr().String(), target: target, conns: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxied{p: p, client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(server, client, true) })
	both.Go(func() { c.copy(client, server, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes bytes on, and the end of the connection as it came: an orderly close or a reset.
func (c *proxied) copy(to, from net.Conn, toServer bool) {
	defer func() {
		if !c.silent.Load() {
			_ = to.Close()
		}
		_ = from.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if toServer {
				c.note(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err != io.EOF && !c.silent.Load() {
				_ = t.SetLinger(0)
			}
			return
		}
	}
}

func (c *proxied) note(b []byte) {
	if told := c.p.told.Load(); told != nil {
		(*told)(string(b))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, method := range []string{"GET ", "POST ", "PUT ", "DELETE "} {
		if bytes.HasPrefix(b, []byte(method)) {
			line, _, _ := bytes.Cut(b, []byte("\r\n"))
			c.request = string(line)
		}
	}
}

// silence makes all open connections silent and returns the last request of each.
func (p *proxy) silence() (requests []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.silent.Swap(true) {
			continue
		}
		c.mu.Lock()
		requests = append(requests, c.request)
		c.mu.Unlock()
	}
	return requests
}

// onPut sets the function that gets what clients send; nil for none.
func (p *proxy) onPut(f func(text string)) {
	if f == nil {
		p.told.Store(nil)
		return
	}
	p.told.Store(&f)
}
