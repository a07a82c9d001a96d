package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// readBodies: clients of the tenant request bodies of items while a large batch is open.
func readBodies() {
	f := smallDeployment(154)
	for _, e := range f.engines {
		e.mu.Lock()
		e.eventGap, e.events = 400*time.Millisecond, 60
		e.mu.Unlock()
	}
	kills := f.enforceMemory()
	size := 23000000
	if !trouble() {
		size = 24 * 600
	}
	b := newBatch("b1", host, "/first/", userKey, "m0", 4, 6, size/24, 1)
	text := b.text()
	record("batch %s has %d bytes; body_bytes is 33554432", b.ID, len(text))
	if status, err := b.submitText(f.vms[0], text, 12*time.Second); err != nil || status != http.StatusAccepted {
		cannotRun("batch %s was not accepted: %d %v", b.ID, status, err)
	}
	time.Sleep(2 * time.Second)
	if len(kills()) > 0 {
		cannotRun("a process exceeded memory_mb at the submission")
	}
	// One machine of each zone; the client's connections go to one of them.
	asked := []*vm{f.vms[0], f.vms[3], f.vms[6]}
	record("twelve clients of the tenant request bodies, four at each of %s, %s and %s", asked[0].name, asked[1].name, asked[2].name)
	var clients sync.WaitGroup
	until := time.Now().Add(15 * time.Second)
	answers, mu := map[string]int{}, sync.Mutex{}
	for _, v := range asked {
		for c := range 4 {
			clients.Go(func() {
				time.Sleep(time.Duration(c) * 20 * time.Millisecond)
				for n := c; time.Now().Before(until); n++ {
					item := b.Items[n%len(b.Items)]
					status, body, err := call(v.front, http.MethodGet, host, "/items/"+b.ID+"?id="+item.ID, userKey, nil, nil, 3*time.Second)
					outcome := fmt.Sprint(status)
					if err != nil {
						outcome = "no answer"
					} else if status == http.StatusOK && !bytes.Equal(body, item.Body) {
						outcome = "wrong body"
					}
					mu.Lock()
					answers[outcome]++
					mu.Unlock()
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	total, often := 0, 0
	for v, n := range kills() {
		total += n
		if n >= 3 {
			often++
		}
		record("the process of %s exceeded memory_mb %d times", v.name, n)
	}
	record("answers to the requests for bodies: %v", answers)
	if often >= 2 { // a tenth of nine machines, two at least
		finish(broken, "Fault: the processes of %d of %d machines ended 3 times or more, %d ends in all", often, len(f.vms), total)
	}
	finish(held, "held: %d ends, %d machines with 3 or more; answers %v", total, often, answers)
}
