package step

import (
	"context"
	"sync"
	"time"
)

// Early runs of a step in one failure domain would fill its engines with the same items: a trainer
// whose submission isn't answered submits the step at another VM. So the VMs ask one of them, which
// keeps the first that asked as the holder while that one repeats the question.

const (
	// earlyHoldInterval is the interval at which a VM with a submission without an outcome asks.
	earlyHoldInterval = 500 * time.Millisecond
	// earlyHoldTTL is how long a VM that doesn't ask again remains the holder.
	earlyHoldTTL = 3 * earlyHoldInterval
)

// HoldEarlyFunc returns the holder of a step: sender, unless there is another one.
type HoldEarlyFunc func(step string, sender Process) Process

// earlyHolders holds the processes that run steps early. It is safe for concurrent use.
type earlyHolders struct {
	mu      sync.Mutex
	holders map[string]earlyHolder
}

type earlyHolder struct {
	process Process
	until   time.Time
}

// hold returns the holder of a step, and makes sender the holder if there is no other one.
func (h *earlyHolders) hold(step string, sender Process, now time.Time) Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, other := range h.holders {
		if !now.Before(other.until) {
			delete(h.holders, key)
		}
	}
	if other, ok := h.holders[step]; ok && other.process != sender {
		return other.process
	}
	if h.holders == nil {
		h.holders = make(map[string]earlyHolder)
	}
	h.holders[step] = earlyHolder{process: sender, until: now.Add(earlyHoldTTL)}
	return sender
}

// HoldEarly answers a VM of this failure domain that asks which process runs a step early.
func (m *Manager) HoldEarly(step string, sender Process) Process {
	return m.earlyHolders.hold(step, sender, time.Now())
}

// askEarlyHolder returns the process that may run a step early. It is this one if the VM that knows
// doesn't answer: a second run costs less than none.
func (m *Manager) askEarlyHolder(ctx context.Context, step string) Process {
	self := Process{VM: m.VM, Incarnation: m.Incarnation}
	if m.AskEarlyHolder == nil {
		return self
	}
	if holder, ok := m.AskEarlyHolder(ctx, step, self, m.HoldEarly); ok {
		return holder
	}
	return self
}
