package daemon

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Another process already listens on a port of the settings. The operator sees a
// daemon that ends at once, and must learn which setting to change.
func TestPortInUseNamesTheSetting(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	address := taken.Addr().String()
	_, err = bind("peerAddress", address)
	var invalid *fault.SettingsInvalid
	if !errors.As(err, &invalid) {
		t.Fatalf("bind fails with %v, want *fault.SettingsInvalid", err)
	}
	if f := invalid.Faults[0]; f.Field != "peerAddress" || f.Value != address {
		t.Errorf("the fault is %+v", f)
	}
}
