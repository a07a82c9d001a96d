package step

import (
	"encoding/json"
	"slices"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/suspicion"
	"dogwoodpond/internal/wait"
)

// tellPeersUntilAccepted tells the other VMs of lost answers until the run is accepted, and reports whether it is.
func (r *run) tellPeersUntilAccepted() bool {
	for {
		select {
		case <-r.ctx.Done():
			r.tellPeers()
			return false
		case <-r.acceptedCh:
			return true
		case <-r.saveCh:
			wait.For(r.ctx, dispatchBatchDelay)
			r.tellPeers()
		}
	}
}

// tellPeers tells the other VMs of lost answers that can't be stored now. While the store is away, a trainer may submit the
// items at any of them.
func (r *run) tellPeers() {
	if r.m.TellPeers == nil {
		return
	}
	untold := slices.DeleteFunc(r.m.suspicions.LostUnstored(r.requests()), func(lost suspicion.Record) bool { return r.told[lost.Suspicion] })
	chunks, err := pack(untold, rowLimit)
	if err != nil {
		r.m.Events.Emit(event.DependencyLost, event.Subject{Step: r.rec.ID, Detail: "lost answers: " + err.Error()})
		return
	}
	for _, chunk := range chunks {
		r.m.tasks.Go(func() { r.m.TellPeers(r.m.ctx, chunk.body) })
	}
	for _, lost := range untold {
		r.told[lost.Suspicion] = true
	}
}

// NoteLostAnswers takes note of lost answers that another VM has told of.
func (m *Manager) NoteLostAnswers(body []byte) {
	var told []suspicion.Record
	if err := json.Unmarshal(body, &told); err != nil {
		m.Events.Emit(event.RowUnreadable, event.Subject{Detail: "lost answers of a peer: " + err.Error()})
		return
	}
	if !m.suspicions.NoteTold(told, time.Now()) {
		return
	}
	for _, r := range m.runsByDueTime() {
		if r.accepted() {
			r.signalSave()
		}
	}
	m.notifyDispatcher()
}
