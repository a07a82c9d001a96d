package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const desk = "wuno96b"

// deskServer is a plain server that other callers fill for moments. While it garbles, it sends some answers twice:
// the second time late, in front of the next answer on the connection.
type deskServer struct {
	id   string
	held atomic.Int64
	w    *deskWorld
}

type deskWorld struct {
	garbling atomic.Bool
	mu       sync.Mutex
	runs     map[string]int
	log      map[string][]string
}

func (w *deskWorld) note(id, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log[id] = append(w.log[id], fmt.Sprintf("%.3f ", time.Since(begun).Seconds())+fmt.Sprintf(format, args...))
}

const (
	deskSlots, deskQueue = 6, 3
	garbleShare          = 0.03
)

func (s *deskServer) serve(conn net.Conn, garbles bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var extra []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Dogwoodpond-Attempt-Id")
		if extra != nil {
			if _, err := conn.Write(extra); err != nil {
				return
			}
			s.w.note(id, "%s sends the extra copy of the answer before", s.id)
			extra = nil
		}
		var answer bytes.Buffer
		head := func(status string) {
			fmt.Fprintf(&answer, "HTTP/1.1 %s\r\nX-Dogwoodpond-Attempt-Id: %s\r\nX-Dogwoodpond-Instance-Id: %s\r\nX-Dogwoodpond-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n",
				status, id, s.id, min(s.held.Load(), deskSlots), deskSlots)
		}
		want := r.Header.Get("X-Dogwoodpond-Expect-Instance")
		switch {
		case want != "" && want != s.id:
			head("421 Misdirected Request")
			answer.WriteString("Content-Length: 0\r\n\r\n")
		case r.URL.Path == "/health":
			head("200 OK")
			answer.WriteString("Content-Length: 0\r\n\r\n")
		case s.held.Add(1) > deskSlots+deskQueue:
			s.held.Add(-1)
			s.w.note(id, "%s is full: 503, not executed", s.id)
			head("503 Service Unavailable")
			answer.WriteString("X-Dogwoodpond-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			s.w.mu.Lock()
			s.w.runs[id]++
			s.w.mu.Unlock()
			s.w.note(id, "%s runs it", s.id)
			time.Sleep(15*time.Millisecond + rand.N(20*time.Millisecond))
			s.held.Add(-1)
			head("200 OK")
			text := "done " + id
			fmt.Fprintf(&answer, "X-Dogwoodpond-Response-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
		}
		if _, err := conn.Write(answer.Bytes()); err != nil {
			return
		}
		if garbles && s.w.garbling.Load() && rand.Float64() < garbleShare {
			extra = bytes.Clone(answer.Bytes())
		}
	}
}

// extraAnswers: one of two servers sends some answers twice, late, while clients charge deposits by an unsafe route.
func extraAnswers() {
	f := newFleet([]string{"za", "zb", "zc"}, 3, 154)
	w := &deskWorld{runs: map[string]int{}, log: map[string][]string{}}
	for n, zone := range []string{"za", "zb"} {
		s := &deskServer{id: fmt.Sprintf("i-desk-%d", n), w: w}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("%v", err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(conn, n == 0)
			}
		}()
		go func() { // other callers
			for {
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
				s.held.Add(deskSlots + deskQueue)
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
				s.held.Add(-deskSlots - deskQueue)
			}
		}()
		go func() {
			for ; ; time.Sleep(1200 * time.Millisecond) {
				f.store.put("servers", s.id, map[string]any{"service": desk, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": deskSlots,
					"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": begun.UnixMilli()})
			}
		}()
	}
	cfg := configuration(3, map[string]any{"name": "r-deposits", "host": host, "prefix": "/lohu930/", "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 400,
		"priority": 2, "service": desk, "attempts": 3, "anonymous": false})
	cfg["services"] = append(cfg["services"].([]map[string]any), map[string]any{"name": desk, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false})
	f.store.put("op", "config", cfg)
	f.startAll()
	f.waitReady(20 * time.Second)
	time.Sleep(3 * time.Second)

	until := time.Now().Add(85 * time.Second)
	if trouble() {
		go func() {
			for time.Now().Before(until) {
				record("DISRUPTION: %s sends %.0f of 100 answers twice, for 5 s", "i-desk-0", garbleShare*100)
				w.garbling.Store(true)
				time.Sleep(5 * time.Second)
				w.garbling.Store(false)
				time.Sleep(time.Second)
			}
		}()
	}
	type deposit struct {
		id     string
		status int
		err    error
	}
	var mu sync.Mutex
	var all []deposit
	var clients sync.WaitGroup
	for c := range 18 {
		clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			v := f.vms[c%len(f.vms)]
			for n := 0; time.Now().Before(until); n++ {
				d := deposit{id: fmt.Sprintf("%04x%08x", c+4096, n)}
				request, _ := http.NewRequest(http.MethodPost, "http://"+v.front+"/lohu930/"+d.id, bytes.NewReader([]byte("plot 17")))
				request.GetBody = nil
				request.Host = host
				request.Header.Set("Authorization", "Token "+userKey)
				request.Header.Set("X-Dogwoodpond-Attempt-Id", d.id)
				request.Header.Set("X-Dogwoodpond-Deadline-Ms", "2000")
				response, err := transport.RoundTrip(request)
				pause := rand.N(20 * time.Millisecond)
				if d.err = err; err == nil {
					d.status = response.StatusCode
					_, d.err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
						pause += time.Duration(s * float64(time.Second))
					}
				}
				mu.Lock()
				all = append(all, d)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	twice, refused := 0, 0
	for _, d := range all {
		ran := w.runs[d.id]
		promised := d.err == nil && (d.status == 503 || d.status == 429 || d.status == 408 || d.status == 421)
		verdict := ""
		switch {
		case ran > 1:
			twice++
			verdict = "breaks TWICE"
		case ran > 0 && promised:
			refused++
			verdict = "breaks REFUSED"
		}
		record("deposit %s: answer %d %v, ran %d times %s", d.id, d.status, d.err, ran, verdict)
		if verdict != "" {
			for _, line := range w.log[d.id] {
				record("    %s", line)
			}
		}
	}
	if twice+refused > 0 {
		finish(broken, "TWICE is broken by %d, REFUSED by %d of %d deposits", twice, refused, len(all))
	}
	finish(held, "held: %d deposits", len(all))
}
