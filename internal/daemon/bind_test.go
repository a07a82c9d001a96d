package daemon

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Another process already listens on a port of the settings, so that the daemon ends right
// after its start. The error must contain the setting that the operator has to change.
func TestBindErrorContainsSetting(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	address := occupied.Addr().String()
	_, err = bind("peerAddress", address)
	var invalid *fault.SettingsInvalid
	if !errors.As(err, &invalid) {
		t.Fatalf("bind fails with %v, want *fault.SettingsInvalid", err)
	}
	if f := invalid.Faults[0]; f.Field != "peerAddress" || f.Value != address {
		t.Errorf("bind reports the fault %+v, want that of peerAddress", f)
	}
}
