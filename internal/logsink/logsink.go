// Package logsink writes log lines without ever making their writer wait. A
// reader of standard output that stands still would otherwise stop every request
// that logs a line. Lines wait in a bounded buffer; what does not fit is dropped
// and counted, and a line tells how many were lost once there is room again.
package logsink

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBuffered bounds the lines that wait, in bytes. A busy VM writes some
	// 20 KB a second, so a reader may pause for ten seconds.
	maxBuffered = 256 << 10
	// flushTime bounds the wait for the last lines when the process ends.
	flushTime = 300 * time.Millisecond
)

// Sink is a writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	lost    int64
	wake    chan struct{}
	idle    atomic.Bool
}

// New returns a sink that writes to out in the background.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	s.idle.Store(true)
	go s.run()
	return s
}

// Write takes a line; it never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.waiting)+len(line) > maxBuffered {
		s.lost++
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	if s.lost > 0 {
		s.waiting = fmt.Appendf(s.waiting, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.lost)
		s.lost = 0
	}
	s.waiting = append(s.waiting, line...)
	s.idle.Store(false)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	var spare []byte
	for range s.wake {
		for {
			s.mu.Lock()
			lines := s.waiting
			s.waiting = spare[:0]
			if len(lines) == 0 {
				s.idle.Store(true)
			}
			s.mu.Unlock()
			if len(lines) == 0 {
				break
			}
			// A failed write loses log lines only; there is nowhere to report it.
			_, _ = s.out.Write(lines)
			spare = lines
		}
	}
}

// Sync waits a little for the lines that were taken.
func (s *Sink) Sync() error {
	for until := time.Now().Add(flushTime); time.Now().Before(until) && !s.idle.Load(); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// NewLogger returns a logger of JSON lines for a VM that writes to the sink.
func NewLogger(s *Sink, vm string) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("vm", vm), zap.Int("pid", os.Getpid()))
}
