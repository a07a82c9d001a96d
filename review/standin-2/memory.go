package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// restartDelay is how long after its end a process starts again: as long as on the bench.
const restartDelay = 500 * time.Millisecond

// enforceMemory does what the platform does: it kills a process that exceeds memory_mb, and starts each
// process that has ended again. The returned function gives the numbers of kills.
func (f *fleet) enforceMemory() (kills func() map[*vm]int) {
	n := map[*vm]int{}
	for _, v := range f.vms {
		go func() {
			for ; ; time.Sleep(5 * time.Millisecond) {
				if now, _ := v.rssMB(); now > v.memoryMB {
					v.signal(syscall.SIGKILL)
					record("the platform kills %s: %d MB are resident, memory_mb is %d", v.name, now, v.memoryMB)
					f.mu.Lock()
					n[v]++
					f.mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
		go func() {
			for ; ; time.Sleep(10 * time.Millisecond) {
				if !v.alive() {
					time.Sleep(restartDelay)
					f.start(v)
				}
			}
		}()
	}
	return func() map[*vm]int {
		f.mu.Lock()
		defer f.mu.Unlock()
		out := map[*vm]int{}
		for v, count := range n {
			out[v] = count
		}
		return out
	}
}

const (
	// trainerLimit is the time limit of a step, as in the table of the pages.
	trainerLimit = 12 * time.Second
	contact      = 3 * time.Second
	lostAfter    = 5 * time.Second
)

// restartLoop: the process that runs three open batches of a trainer is killed once.
func restartLoop() {
	f := smallDeployment(154)
	owner, submitter := findOwner(f, newBatch("b0", host, "/first/", userKey, "m0", 4, 4, 600, 0))
	record("the results of the trainer's batch came through %s; the trainer submits at %s, in the same zone", owner.name, submitter.name)
	for _, e := range f.engines {
		e.mu.Lock()
		e.eventGap, e.events = 120*time.Millisecond, 40
		e.mu.Unlock()
	}
	kills := f.enforceMemory()
	var batches []*batch
	submitted := map[*batch]time.Time{}
	for n := 1; n <= 3; n++ {
		b := newBatch(fmt.Sprintf("b%d", n), host, "/first/", userKey, "m0", 4, 6, envInt("BODY", 23000000)/24, n)
		text := b.text()
		record("batch %s has %d bytes; body_bytes is 33554432", b.ID, len(text))
		submitted[b] = time.Now()
		if status, err := b.submitText(submitter, text, 12*time.Second); err != nil || status != http.StatusAccepted {
			cannotRun("batch %s was not accepted: %d %v", b.ID, status, err)
		}
		batches = append(batches, b)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	for _, v := range f.vms {
		if now, peak := v.rssMB(); peak > 60 {
			record("%s: %d MB are resident, %d at most so far", v.name, now, peak)
		}
	}
	if len(kills()) > 0 {
		cannotRun("a process exceeded memory_mb before the disruption")
	}
	if trouble() {
		record("DISRUPTION: the process of %s is killed, once; it starts again %v later", owner.name, restartDelay)
		owner.signal(syscall.SIGKILL)
	}
	steady := time.Now().Add(restartDelay + contact)
	lost := 0
	for _, b := range batches {
		results := b.readAll(submitter, time.Until(submitted[b].Add(trainerLimit)))
		now := time.Now()
		if len(results) == len(b.Items) {
			record("batch %s: all %d items listed within the trainer's time limit", b.ID, len(results))
			continue
		}
		idle, begun := 0, 0
		for _, item := range b.Items {
			state := f.at(item.ID)
			if state.begun {
				begun++
			}
			from := steady
			if state.left.After(from) {
				from = state.left
			}
			if !state.finished && !state.running && now.Sub(from) >= lostAfter {
				idle++
			}
		}
		record("batch %s runs out of time: %d of %d items listed; %d had begun; %d that no server finished or failed were at no server in the last %.1f s or longer of steady state; "+
			"at most %d of %d slots of the servers were taken in that time, and %d items began", b.ID, len(results), len(b.Items), begun, idle, lostAfter.Seconds(), f.mostRunning(now.Add(-lostAfter)), len(f.engines)*12, f.begunSince(now.Add(-lostAfter)))
		if idle > 0 && f.mostRunning(now.Add(-lostAfter)) < len(f.engines)*6 && f.begunSince(now.Add(-3*time.Second)) == 0 {
			lost++
		}
	}
	if trouble() && lost > 0 {
		time.Sleep(15 * time.Second)
	}
	for v, n := range kills() {
		record("the process of %s exceeded memory_mb %d times", v.name, n)
	}
	for _, b := range batches {
		_, total, results := b.read(submitter, 0)
		record("at the end, batch %s has %d results on the first page, of %d items", b.ID, len(results), total)
	}
	if lost > 0 {
		finish(broken, "LOST is broken for %d of 3 batches; kills by the platform: %d of %s", lost, kills()[owner], owner.name)
	}
	finish(held, "held: kills by the platform %d", len(kills()))
}
