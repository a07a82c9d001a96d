// Package event records numbered events. Each process keeps its latest events
// in a ring and writes them to its log; the time line merges the rings of all
// processes by their hybrid logical clock. docs/EVENTS.md lists all numbers.
package event

import (
	"fmt"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number identifies a kind of event, printed as DWP-<number>. A number keeps
// its meaning for ever.
type Number int

// String returns the printed form, for example "DWP-1203".
func (n Number) String() string { return fmt.Sprintf("DWP-%d", int(n)) }

// Level is the weight of an event in the log.
type Level = zapcore.Level

// Definition describes one kind of event in the catalogue.
type Definition struct {
	Number  Number
	Level   Level
	Name    string
	Meaning string
}

// Subject names what an event is about. Empty fields don't apply. It never
// holds a key, a prompt or an answer.
type Subject struct {
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Step     string `json:"step,omitempty"`
	Slot     string `json:"slot,omitempty"`
	Lease    string `json:"lease,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	// Attempt counts the attempts of a request or a slot from 1.
	Attempt int `json:"attempt,omitempty"`
	// Count is a number whose meaning the catalogue gives.
	Count int64 `json:"count,omitempty"`
	// Detail is a short text, for example the code of a failure.
	Detail string `json:"detail,omitempty"`
}

// Record is one event that happened.
type Record struct {
	Stamp  Stamp  `json:"stamp"`
	VM     string `json:"vm"`
	Number Number `json:"number"`
	Name   string `json:"name"`
	Subject
}

// Recorder keeps the latest events of a process. It is safe for concurrent use.
type Recorder struct {
	vm    string
	clock *Clock
	log   *zap.Logger

	// observe is set before the first event and never after.
	observe func(Record)

	mu   sync.Mutex
	ring []Record
	next int
	full bool
}

// NewRecorder returns a recorder for the process named vm that keeps the
// latest capacity events and writes each to log.
func NewRecorder(vm string, capacity int, clock *Clock, log *zap.Logger) *Recorder {
	return &Recorder{vm: vm, clock: clock, log: log, ring: make([]Record, capacity)}
}

// Clock returns the clock that stamps the recorder's events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Observe makes the recorder show each event to an observer, for example to
// count it. It is called once, before the first event; the observer must be
// fast and safe for concurrent use.
func (r *Recorder) Observe(observer func(Record)) { r.observe = observer }

// Emit records an event and returns its stamp.
func (r *Recorder) Emit(n Number, s Subject) Stamp {
	def := catalogue[n]
	rec := Record{Stamp: r.clock.Now(), VM: r.vm, Number: n, Name: def.Name, Subject: s}
	r.keep(rec)
	if r.observe != nil {
		r.observe(rec)
	}
	if entry := r.log.Check(def.Level, def.Name); entry != nil {
		entry.Write(zap.Stringer("event", n), zap.Stringer("stamp", rec.Stamp), zap.Inline(logSubject(s)))
	}
	return rec.Stamp
}

func (r *Recorder) keep(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = rec
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

// Since returns the kept events with a stamp after the given one, oldest first.
func (r *Recorder) Since(after Stamp) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ordered []Record
	if r.full {
		ordered = append(ordered, r.ring[r.next:]...)
	}
	ordered = append(ordered, r.ring[:r.next]...)
	kept := ordered[:0]
	for _, rec := range ordered {
		if after.Before(rec.Stamp) {
			kept = append(kept, rec)
		}
	}
	return kept
}

// logSubject writes the non-empty fields of a subject to the log.
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
	return nil
}
