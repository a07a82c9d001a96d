package main

import (
	"net/http"
	"time"
)

// stalledStep: the open connections of the machines to the servers go silent while a batch runs that has more
// items than the servers have slots.
func stalledStep() {
	f := newFleet([]string{"za", "zb", "zc"}, 3, 154)
	var paths []*proxy
	for i, zone := range []string{"za", "za", "zb", "zb", "zc", "zc"} {
		e := f.addEngine("i-"+zone+string(rune('a'+i)), zone, engines, []string{"m0", "m1"})
		p := newProxy("127.0.0.1:0", e.address)
		paths = append(paths, p)
		e.mu.Lock()
		e.address, e.eventGap, e.events = p.address, 60*time.Millisecond, 20
		e.mu.Unlock()
		e.beat()
	}
	f.store.put("op", "config", configuration(3, rolloutRoute("r-0", "/first/")))
	f.startAll()
	f.waitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	first := newBatch("b0", host, "/first/", userKey, "m0", 23, 4, 600, 0)
	f.mustComplete(first)
	first.end(f.vms[4])
	time.Sleep(3 * time.Second)

	b := newBatch("b1", host, "/first/", userKey, "m0", 23, 4, 600, 1)
	submitted := time.Now()
	if status, err := b.submit(f.vms[0], 12*time.Second); err != nil || status != http.StatusAccepted {
		cannotRun("batch %s was not accepted: %d %v", b.ID, status, err)
	}
	time.Sleep(500 * time.Millisecond)
	silentAt := time.Now()
	if trouble() {
		n := 0
		for _, p := range paths {
			n += len(p.silence())
		}
		record("DISRUPTION: the %d open connections of the machines to the servers go silent; new ones work", n)
	}
	results := b.readAll(f.vms[4], time.Until(submitted.Add(trainerLimit)))
	if len(results) == len(b.Items) {
		finish(held, "held: all %d items listed %.1f s after the submission", len(results), time.Since(submitted).Seconds())
	}
	now := time.Now()
	idle, never, finished := 0, 0, 0
	for _, item := range b.Items {
		state := f.at(item.ID)
		from := silentAt.Add(contact)
		if state.left.After(from) {
			from = state.left
		}
		switch {
		case state.finished:
			finished++
		case !state.running && now.Sub(from) >= lostAfter:
			idle++
			if !state.begun {
				never++
			}
		}
	}
	most, began := f.mostRunning(now.Add(-lostAfter)), f.begunSince(now.Add(-lostAfter))
	record("batch %s runs out of time: %d of %d items listed; servers finished %d; %d that no server finished or failed were at no server in the last %.1f s or longer of steady state, %d of them never; "+
		"at most %d of %d slots of the servers were taken in that time, %d items began; no version was named", b.ID, len(results), len(b.Items), finished, idle, lostAfter.Seconds(), never, most, len(f.engines)*12, began)
	if idle == 0 || most*2 >= len(f.engines)*12 {
		finish(held, "held: no item lay idle")
	}
	more := b.readAll(f.vms[4], 15*time.Second)
	record("15 s later %d items are listed", len(more))
	finish(broken, "LOST is broken: %d of %d items listed at the time limit, %d lay at no server for 5 s and more while the servers were empty; 15 s later %d are listed", len(results), len(b.Items), idle, len(more))
}

// mustComplete submits a batch and reads all its results.
func (f *fleet) mustComplete(b *batch) {
	if status, err := b.submit(f.vms[0], 12*time.Second); err != nil || status != http.StatusAccepted {
		cannotRun("batch %s was not accepted: %d %v", b.ID, status, err)
	}
	if results := b.readAll(f.vms[4], 12*time.Second); len(results) < len(b.Items) {
		cannotRun("batch %s has only %d results", b.ID, len(results))
	}
}
