package ctl

import (
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/event"
)

// Guards against a result that counts VMs that don't know of an evacuation yet, or that
// merges two evacuations of one failure domain.
func TestEvacuationsOfOneDomainAreSeparated(t *testing.T) {
	var events []event.Record
	at := func(millis int64, vm string, number event.Number, domain string) {
		events = append(events, event.Record{
			Stamp: event.Stamp{WallMicros: 1_000_000 + millis*1000}, VM: vm, Number: number,
			Subject: event.Subject{Detail: domain, Count: 5},
		})
	}
	at(0, "a", event.DomainRestored, "x")
	at(100, "a", event.DomainEvacuated, "x")
	at(150, "a", event.DomainEvacuated, "y")
	at(400, "b", event.DomainEvacuated, "x")
	at(900, "a", event.DomainRestored, "x")
	at(1500, "a", event.DomainEvacuated, "x")
	evacuations := evacuationsOf(events, nil).Evacuations
	if len(evacuations) != 3 || evacuations[0].Domain != "x" || evacuations[1].Domain != "y" || evacuations[2].Domain != "x" {
		t.Fatalf("the evacuations are %+v", evacuations)
	}
	first := evacuations[0]
	if first.VMs != 2 || first.Restored != 1 || first.Known.Sub(first.Began) != 300*time.Millisecond || first.Upstreams != 5 {
		t.Errorf("the first evacuation: %+v", first)
	}
	if last := evacuations[2]; last.VMs != 1 || !last.Ended.IsZero() {
		t.Errorf("the last evacuation: %+v", last)
	}
}

// Guards against output of the command that does not match the operators' page.
func TestEvacuationsOfLogs(t *testing.T) {
	dir := t.TempDir()
	a := newVMLog(t, dir, "vm-a")
	a.Emit(event.DomainEvacuated, event.Subject{Detail: "x", Count: 3})
	out, err := runTool(t, "evacuations", "--logs", dir)
	if err != nil || !strings.Contains(out, "x") || !strings.Contains(out, "1 VMs") || !strings.Contains(out, "not yet") {
		t.Errorf("%v\n%s", err, out)
	}
}
