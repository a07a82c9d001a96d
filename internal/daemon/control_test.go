package daemon

import (
	"testing"

	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/settings"
)

// Guards against a new holder of the failure domain's lease that orders while an order of
// the previous one to the platform, whose timeout is not that of orders to engines, can
// still take effect.
func TestNewHolderWaitsForOrdersToThePlatform(t *testing.T) {
	for _, millis := range []int{100, 10_000} {
		s := settings.Daemon{OrderTimeoutMillis: millis}
		c := newController(s, nil, nil, nil, nil, nil, nil, nil, nil, nil, nil)
		if want := max(s.OrderTimeout(), platformapi.CallTimeout); c.OrderTimeout != want {
			t.Errorf("orders to engines take %s: the controller expects orders to end within %s, want %s", s.OrderTimeout(), c.OrderTimeout, want)
		}
		if c.ReportTimeout < platformapi.CallTimeout {
			t.Errorf("the controller expects reports to end within %s", c.ReportTimeout)
		}
	}
}
