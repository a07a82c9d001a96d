// Package event records numbered events. Each process holds its latest events
// in a ring buffer and writes every event to its log. The timeline merges the
// ring buffers of all processes in the order of the hybrid logical clock.
// docs/EVENTS.md lists all numbers.
package event

import (
	"fmt"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number identifies a kind of event and is printed as DWP-<number>. The meaning of a
// number never changes.
type Number int

// String returns the printed form, for example "DWP-1203".
func (n Number) String() string { return fmt.Sprintf("DWP-%d", int(n)) }

// Level is the log level of an event.
type Level = zapcore.Level

// Definition describes one kind of event in the catalogue.
type Definition struct {
	Number  Number
	Level   Level
	Name    string
	Meaning string
}

// Subject identifies the objects that an event concerns. Fields that don't apply
// are empty. A subject never contains a key, a prompt or an answer.
type Subject struct {
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Step     string `json:"step,omitempty"`
	Slot     string `json:"slot,omitempty"`
	Lease    string `json:"lease,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Incarnation is the start of the upstream's incarnation, in Unix milliseconds.
	Incarnation int64  `json:"incarnation,omitempty"`
	Peer        string `json:"peer,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	// Attempt is the number of the attempt at a request or slot, counted from 1.
	Attempt int `json:"attempt,omitempty"`
	// Count is a number; the catalogue defines its meaning for each event.
	Count int64 `json:"count,omitempty"`
	// Position is a position in the results of a step, counted from 0.
	Position int64 `json:"position,omitempty"`
	// Detail is a short text, for example a failure code.
	Detail string `json:"detail,omitempty"`
}

// Record is one recorded event.
type Record struct {
	Stamp  Stamp  `json:"stamp"`
	VM     string `json:"vm"`
	Number Number `json:"number"`
	Name   string `json:"name"`
	Subject
}

// Recorder holds the latest events of a process and writes every event to the
// process's log. It is safe for concurrent use.
type Recorder struct {
	vm    string
	clock *Clock
	log   *zap.Logger

	// observe is set before the first event and not changed afterwards.
	observe func(Record)

	mu sync.Mutex
	// ring is the ring buffer of the events; next is the index of the next write,
	// and full is true once all elements are set.
	ring []Record
	next int
	full bool
}

// NewRecorder returns a recorder for the VM vm. The recorder holds the latest
// capacity events and writes each event to log.
func NewRecorder(vm string, capacity int, clock *Clock, log *zap.Logger) *Recorder {
	return &Recorder{vm: vm, clock: clock, log: log, ring: make([]Record, capacity)}
}

// Clock returns the clock that stamps the recorder's events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Observe sets the function that is called with each event, for example to count
// events. Observe must be called at most once, before the first event; the
// observer must be fast and safe for concurrent use.
func (r *Recorder) Observe(observer func(Record)) { r.observe = observer }

// Emit records an event and returns its stamp.
func (r *Recorder) Emit(n Number, s Subject) Stamp {
	def := catalogue[n]
	rec := Record{Stamp: r.clock.Now(), VM: r.vm, Number: n, Name: def.Name, Subject: s}
	r.add(rec)
	if r.observe != nil {
		r.observe(rec)
	}
	if entry := r.log.Check(def.Level, def.Name); entry != nil {
		entry.Write(zap.Stringer("event", n), zap.Stringer("stamp", rec.Stamp), zap.Inline(logSubject(s)))
	}
	return rec.Stamp
}

func (r *Recorder) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = rec
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

// Since returns the events in the ring buffer with a stamp later than after,
// oldest first.
func (r *Recorder) Since(after Stamp) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ordered []Record
	if r.full {
		ordered = append(ordered, r.ring[r.next:]...)
	}
	ordered = append(ordered, r.ring[:r.next]...)
	later := ordered[:0]
	for _, rec := range ordered {
		if after.Before(rec.Stamp) {
			later = append(later, rec)
		}
	}
	return later
}

// logSubject encodes the non-empty fields of a subject for the log.
type logSubject Subject

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s logSubject) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	addText := func(key, value string) {
		if value != "" {
			enc.AddString(key, value)
		}
	}
	addText("request", s.Request)
	addText("account", s.Account)
	addText("step", s.Step)
	addText("slot", s.Slot)
	addText("lease", s.Lease)
	addText("upstream", s.Upstream)
	addText("peer", s.Peer)
	addText("detail", s.Detail)
	if s.Incarnation != 0 {
		enc.AddInt64("incarnation", s.Incarnation)
	}
	if s.Revision != 0 {
		enc.AddUint64("revision", s.Revision)
	}
	if s.Epoch != 0 {
		enc.AddUint64("epoch", s.Epoch)
	}
	if s.Attempt != 0 {
		enc.AddInt("attempt", s.Attempt)
	}
	if s.Count != 0 {
		enc.AddInt64("count", s.Count)
	}
	if s.Position != 0 {
		enc.AddInt64("position", s.Position)
	}
	return nil
}
