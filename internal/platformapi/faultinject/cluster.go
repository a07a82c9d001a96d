// Package faultinject injects faults into calls to the platform. A World is a fake
// platform with the processes that call it. Each call of a process is a Step, and a
// Script chooses the Fault that is injected at it. RunMatrix records the steps of a
// run without faults and injects every fault at each of them, so that no step is
// left out.
//
// Runs are deterministic inside a bubble of testing/synctest.
package faultinject

import (
	"fmt"
	"sync"
	"time"

	"dogwoodpond/internal/platformapi/memtables"
)

// Step is one call that a process makes through a port.
type Step struct {
	// Process is the name of the caller.
	Process string
	// Index is the number of the step within its process, from 0.
	Index int
	// Call is the kind of call, for example "commit", and Subject the key or other
	// object that it concerns.
	Call    string
	Subject string
}

// String returns a description of the step.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %s (%d)", s.Process, s.Call, s.Subject, s.Index)
}

// Kind is a kind of fault.
type Kind int

// The kinds of faults. "Before" and "after" refer to the call's effect.
const (
	None Kind = iota
	// LoseRequest drops the call before its effect.
	LoseRequest
	// LoseReply drops the reply after the effect.
	LoseReply
	// DelayEffect lets the caller time out, and delays the effect by For. A call that
	// changes nothing has no effect at all.
	DelayEffect
	// KillBefore and KillAfter kill the process.
	KillBefore
	KillAfter
	// PauseBefore and PauseAfter pause the process for For.
	PauseBefore
	PauseAfter
	// StoreDown makes the store unreachable for all processes for For.
	StoreDown
	// CutOff makes the store and the peers unreachable for the process for For.
	CutOff
)

// kindNames are the names of the kinds, in the order of their constants.
var kindNames = []string{
	"none", "request lost", "reply lost", "delayed past the timeout", "killed before", "killed after",
	"paused before", "paused after", "store down", "cut off",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Kinds are all kinds of faults but None.
var Kinds = []Kind{LoseRequest, LoseReply, DelayEffect, KillBefore, KillAfter, PauseBefore, PauseAfter, StoreDown, CutOff}

// UniformDurations returns the duration d for every kind of fault that has a duration.
func UniformDurations(d time.Duration) map[Kind]time.Duration {
	return map[Kind]time.Duration{DelayEffect: d, PauseBefore: d, PauseAfter: d, StoreDown: d, CutOff: d}
}

// Fault is a fault with its duration, if its kind has one.
type Fault struct {
	Kind     Kind
	Duration time.Duration
}

// Script chooses the fault that is injected at a step.
type Script func(Step) Fault

// NoFaults is the script of a run without faults.
func NoFaults(Step) Fault { return Fault{} }

// Cluster is a fake platform and the processes that call it.
type Cluster struct {
	// Rows are the rows of the table service. Direct access to them is not a step.
	Rows *memtables.Tables

	mu         sync.Mutex
	script     Script
	steps      []Step
	faultCount int
	downUntil  time.Time
}

// NewCluster returns a cluster with empty tables.
func NewCluster(script Script) *Cluster {
	return &Cluster{Rows: memtables.NewTables(), script: script}
}

// SetScript replaces the script, for example after the setup of a test.
func (c *Cluster) SetScript(script Script) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.script = script
}

// Steps returns the steps of all processes so far.
func (c *Cluster) Steps() []Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Step(nil), c.steps...)
}

// FaultCount returns the number of steps so far at which a fault was injected.
func (c *Cluster) FaultCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultCount
}

// TakeStoreDown makes the store unreachable for all processes for d.
func (c *Cluster) TakeStoreDown(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downUntil = time.Now().Add(d)
}

func (c *Cluster) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.downUntil)
}

// record records a step and returns the fault that is injected at it.
func (c *Cluster) record(step Step) Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, step)
	f := c.script(step)
	if f.Kind != None {
		c.faultCount++
	}
	return f
}
