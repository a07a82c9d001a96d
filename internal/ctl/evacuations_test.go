package ctl

import (
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/event"
)

// Guards against an operator who is told that a failure domain is empty while a VM has not
// heard of its evacuation, or that two evacuations were one.
func TestEvacuationsAreToldApart(t *testing.T) {
	var line []event.Record
	at := func(millis int64, vm string, number event.Number, domain string) {
		line = append(line, event.Record{
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
	told := evacuationsOf(line, nil).Evacuations
	if len(told) != 3 || told[0].Domain != "x" || told[1].Domain != "y" || told[2].Domain != "x" {
		t.Fatalf("the evacuations are %+v", told)
	}
	first := told[0]
	if first.VMs != 2 || first.Restored != 1 || first.Known.Sub(first.Began) != 300*time.Millisecond || first.Upstreams != 5 {
		t.Errorf("the first one: %+v", first)
	}
	if last := told[2]; last.VMs != 1 || !last.Ended.IsZero() {
		t.Errorf("the last one: %+v", last)
	}
}

// Guards against a command that prints what its page does not say.
func TestEvacuationsOfLogs(t *testing.T) {
	dir := t.TempDir()
	a := logOf(t, dir, "vm-a")
	a.Emit(event.DomainEvacuated, event.Subject{Detail: "x", Count: 3})
	out, err := runTool(t, "evacuations", "--logs", dir)
	if err != nil || !strings.Contains(out, "x") || !strings.Contains(out, "1 VMs") || !strings.Contains(out, "not yet") {
		t.Errorf("%v\n%s", err, out)
	}
}
