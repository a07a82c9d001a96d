// Package logsink writes log lines in the background, so that logging never blocks.
// Otherwise a stalled reader of standard output would block every request that logs
// a line. Lines are held in a bounded buffer. Lines that do not fit are dropped and
// counted, and their number is logged when the buffer has space again.
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
	// maxBufferBytes limits the buffered lines. A busy VM logs some 20 KB a second,
	// so the reader may stall for ten seconds before lines are dropped.
	maxBufferBytes = 256 << 10
	// flushTimeout limits the wait for the last lines when the process ends.
	flushTimeout = 300 * time.Millisecond
	// DroppedMessage is the message of the line that counts dropped lines.
	DroppedMessage = "log lines dropped"
)

// Sink is a writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	// unreported counts the dropped lines that no line has reported yet.
	unreported int64
	// notify signals run that there are lines to write.
	notify chan struct{}
	// idle is true while no accepted line is unwritten.
	idle atomic.Bool
}

// New returns a sink that writes to out in the background.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, notify: make(chan struct{}, 1)}
	s.idle.Store(true)
	go s.run()
	return s
}

// Write accepts a line, or drops it if the buffer is full. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > maxBufferBytes {
		s.unreported++
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	if s.unreported > 0 {
		s.buffer = fmt.Appendf(s.buffer, "{\"level\":\"warn\",\"msg\":%q,\"count\":%d}\n", DroppedMessage, s.unreported)
		s.unreported = 0
	}
	s.buffer = append(s.buffer, line...)
	s.idle.Store(false)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	var spare []byte
	for range s.notify {
		for {
			s.mu.Lock()
			lines := s.buffer
			s.buffer = spare[:0]
			if len(lines) == 0 {
				s.idle.Store(true)
			}
			s.mu.Unlock()
			// The old spare is the buffer now; with the same memory as spare, new lines would overwrite those being written.
			spare = lines
			if len(lines) == 0 {
				break
			}
			// A failed write only loses log lines, and there is no place to report it.
			_, _ = s.out.Write(lines)
		}
	}
}

// Sync waits until the accepted lines are written, at most flushTimeout.
func (s *Sink) Sync() error {
	for deadline := time.Now().Add(flushTimeout); time.Now().Before(deadline) && !s.idle.Load(); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// NewLogger returns the logger of a VM. It writes JSON lines to the sink.
func NewLogger(s *Sink, vm string) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("vm", vm), zap.Int("pid", os.Getpid()))
}
