// Package ingress bounds what clients take of a process before their requests are understood: the number of open
// connections, the size, the time and the memory of the heads of requests, and the memory and the time of bodies. A
// parsed head takes far more memory than its bytes, so the memory is counted by lines as well, while the head arrives.
//
// The load that it answers is that of many clients that send large heads, never end a head or a body, or hold
// connections open. Small heads need no memory of the common budget, small bodies have a reserve, and a new connection
// takes the place of the one that has waited longest for its client. So ordinary callers are still served.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallHeadBytes and smallHeadLines bound a head that needs no memory of the common budget. Heads of
	// ordinary callers have some ten lines and less than 1 KB.
	smallHeadBytes = 4 << 10
	smallHeadLines = 32
	// headByteCost and headLineCost are the bytes of memory that a byte and a line of a head take: the parsed
	// head, and its copies for the call and for the attempt at an upstream.
	headByteCost = 3
	headLineCost = 400
	// headCostStep is the granularity of reservations, in bytes.
	headCostStep = 16 << 10
	// connMemory is the memory of a connection with a small head, in bytes.
	connMemory = 16 << 10
	// requestLineBytes is how far a head may exceed the limit of its header, for its request line.
	requestLineBytes = 4 << 10
)

// RequestLimits bound a single request. They may change while a process runs. A value of 0 sets no limit.
type RequestLimits struct {
	// HeaderBytes is the size of a header.
	HeaderBytes int
	// HeaderTimeout is the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may wait for the next request.
	IdleTimeout time.Duration
	// WriteTimeout is the time within which the client must accept any byte of an answer. Without it, deadlines that
	// the server sets apply.
	WriteTimeout time.Duration
}

// Reason is why a connection was closed or a request refused.
type Reason string

// The reasons.
const (
	// TooManyConnections: another connection had to be closed for a new one, or the new one was.
	TooManyConnections Reason = "too many connections"
	// HeadTooLarge: the head exceeds the limit of a request.
	HeadTooLarge Reason = "head too large"
	// HeadMemoryUsed: there is no memory for another large head.
	HeadMemoryUsed Reason = "no memory for the head"
	// MessageMemoryUsed: there is no memory for another large message.
	MessageMemoryUsed Reason = "no memory for the message"
)

// Guard bounds what the clients of one address take. It is safe for concurrent use.
type Guard struct {
	maxConns int
	// memory is the budget for large heads or messages.
	memory *semaphore.Weighted
	limits func() RequestLimits
	closed func(Reason)

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// MaxConns returns the number of connections that fit into a number of bytes.
func MaxConns(bytes int64) int { return int(bytes / connMemory) }

// NewGuard returns a guard of at most maxConns connections, whose large heads together take at most the memory of a
// budget, in bytes. Guards may share the budget. closed is called for each connection that the guard closes.
func NewGuard(maxConns int, memory *semaphore.Weighted, limits func() RequestLimits, closed func(Reason)) *Guard {
	return &Guard{maxConns: max(maxConns, 1), memory: memory, limits: limits, closed: closed, conns: make(map[*conn]struct{})}
}

// Protect makes a server accept connections from a listener through the guard. It returns the listener to serve.
func (g *Guard) Protect(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*conn)
		switch {
		case !ok:
		case state == http.StateActive:
			guarded.phase.CompareAndSwap(awaiting, serving)
		case state == http.StateIdle:
			guarded.awaitRequest()
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	// The guard applies the limit of the configuration, which may be higher than the server's default.
	server.MaxHeaderBytes = maxServerHeaderBytes
	return &guardedListener{Listener: listener, guard: g, wrap: func(c *conn) net.Conn { return c }}
}

// maxServerHeaderBytes is the limit of the HTTP server itself.
const maxServerHeaderBytes = 1 << 20

type guardedListener struct {
	net.Listener
	guard *Guard
	// wrap returns the connection that Accept returns.
	wrap func(*conn) net.Conn
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l.guard)
		if l.guard.admit(c) {
			return l.wrap(c), nil
		}
		_ = accepted.Close()
	}
}

// admit adds a connection. If there are too many, it closes the one that has waited longest for its client. It
// returns false if all others are being served.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	var victim *conn
	full := len(g.conns) >= g.maxConns
	if full {
		victim = g.evict()
	}
	admitted := !full || victim != nil
	if admitted {
		g.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	if victim != nil {
		// Its goroutine fails in its read, and ends.
		_ = victim.Conn.Close()
	}
	if full {
		g.closed(TooManyConnections)
	}
	return admitted
}

// evict removes the connection that has waited longest for its client. It returns nil if none waits. g.mu must be held.
func (g *Guard) evict() *conn {
	for {
		victim := g.longestAwaiting()
		if victim == nil {
			return nil
		}
		if victim.phase.CompareAndSwap(awaiting, evicted) || victim.phase.CompareAndSwap(receiving, evicted) {
			delete(g.conns, victim)
			return victim
		}
	}
}

// longestAwaiting returns the connection that has waited longest for its client, nil if none waits. g.mu must be held.
func (g *Guard) longestAwaiting() *conn {
	var longest *conn
	for c := range g.conns {
		if c.phase.Load() < serving && (longest == nil || c.since.Load() < longest.since.Load()) {
			longest = c
		}
	}
	return longest
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

// headCost returns the memory of a head that counts against the budget, in bytes.
func headCost(bytes, lines int) int64 {
	if bytes <= smallHeadBytes && lines <= smallHeadLines {
		return 0
	}
	cost := int64(bytes)*headByteCost + int64(lines)*headLineCost
	return (cost + headCostStep - 1) / headCostStep * headCostStep
}
