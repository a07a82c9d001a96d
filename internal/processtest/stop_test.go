package processtest

import (
	"strings"
	"syscall"
	"testing"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/standin"
)

// Guards against usage that is not sealed because a stopping VM is killed while it waits for
// an order, which an engine does not answer.
func TestStopSealsUsageBeforeTheOrderInFlightEnds(t *testing.T) {
	f := startFleet(t, topology{
		domains: []string{"a"}, vms: 1, engines: 1,
		settings: func(settings map[string]any) {
			settings["orderTimeoutMillis"] = 6000
			settings["usageWindowSeconds"] = 3600
		},
	})
	f.grant(testContract("strathallan"))
	f.addFault("http://"+f.engines[0].Address, standin.Fault{Path: engine.PathOrders, Mode: standin.FaultFreeze})
	f.publish()
	stopped := f.vms[0]
	stopped.find(t, `DWP-1504`)
	stopped.signal(t, syscall.SIGTERM)
	if err := stopped.awaitExit(t); err != nil {
		t.Errorf("the planned stop failed: %v", err)
	}
	log := stopped.out.String()
	sealed, failed := strings.Index(log, "DWP-1601"), strings.Index(log, "DWP-1505")
	if sealed < 0 || failed < 0 || sealed > failed {
		t.Errorf("usage was sealed at byte %d of the log, the order failed at %d, want the seal first", sealed, failed)
	}
}
