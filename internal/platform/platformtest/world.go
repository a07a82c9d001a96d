// Package platformtest breaks the platform on purpose. A World is a platform
// with processes that call it; each call of a process is a Step, and a script
// chooses the Fault that hits it. The recorded steps of a run without faults
// are the rows of a fault matrix, so that no step can be forgotten.
//
// Runs are deterministic inside a bubble of testing/synctest.
package platformtest

import (
	"fmt"
	"sync"
	"time"

	"dogwoodpond/internal/platform/memory"
)

// Step is one call of a process at a port.
type Step struct {
	// Process is the name of the caller.
	Process string
	// Index counts the steps of the process from 0.
	Index int
	// Call names the port and the method, Subject what it is about.
	Call    string
	Subject string
}

// String describes the step.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %s (%d)", s.Process, s.Call, s.Subject, s.Index)
}

// Kind is what goes wrong at a step.
type Kind int

// The kinds of faults. "Before" and "after" refer to the call's effect.
const (
	None Kind = iota
	// LoseRequest drops the call before its effect.
	LoseRequest
	// LoseReply drops the reply after the effect.
	LoseReply
	// Late lets the caller time out; the effect comes after For.
	Late
	// KillBefore and KillAfter end the process.
	KillBefore
	KillAfter
	// PauseBefore and PauseAfter stop the process for For.
	PauseBefore
	PauseAfter
	// StoreDown takes the platform down for all processes for For.
	StoreDown
	// CutOff cuts the process off from the platform for For.
	CutOff
)

// names holds the names of the kinds, in their order.
var names = []string{
	"none", "request lost", "reply lost", "delayed past the timeout", "killed before", "killed after",
	"paused before", "paused after", "store down", "cut off",
}

// String returns the name of the kind.
func (k Kind) String() string { return names[k] }

// Kinds lists every kind of fault.
var Kinds = []Kind{LoseRequest, LoseReply, Late, KillBefore, KillAfter, PauseBefore, PauseAfter, StoreDown, CutOff}

// EveryLast gives every fault that lasts the same length.
func EveryLast(d time.Duration) map[Kind]time.Duration {
	return map[Kind]time.Duration{Late: d, PauseBefore: d, PauseAfter: d, StoreDown: d, CutOff: d}
}

// Fault is a kind with its length.
type Fault struct {
	Kind Kind
	For  time.Duration
}

// Script chooses the fault of a step.
type Script func(Step) Fault

// NoFaults is the script of a run without faults.
func NoFaults(Step) Fault { return Fault{} }

// World is a platform and the processes that call it.
type World struct {
	// Rows are the platform's rows; reading them directly is no step.
	Rows *memory.Tables

	mu     sync.Mutex
	script Script
	steps  []Step
	struck int
	downTo time.Time
}

// NewWorld returns a world with empty tables.
func NewWorld(script Script) *World {
	return &World{Rows: memory.NewTables(), script: script}
}

// SetScript replaces the script, for example once a run has been prepared.
func (w *World) SetScript(script Script) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = script
}

// Steps returns the steps of all processes so far.
func (w *World) Steps() []Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Step(nil), w.steps...)
}

// Struck returns how many steps were hit by a fault so far.
func (w *World) Struck() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.struck
}

// TakeDown takes the platform down for all processes.
func (w *World) TakeDown(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downTo = time.Now().Add(d)
}

func (w *World) down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.downTo)
}

func (w *World) record(step Step) Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = append(w.steps, step)
	f := w.script(step)
	if f.Kind != None {
		w.struck++
	}
	return f
}
