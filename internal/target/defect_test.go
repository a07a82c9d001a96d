package target

import (
	"math"
	"testing"
)

// Guards against requests to what other writers have added to the list of upstreams, and against figures that overflow.
func TestDefectsOfEntries(t *testing.T) {
	sound := func() Instance {
		return Instance{ID: "a", Service: "lm", Address: "10.0.0.1:8690", FailureDomain: "x", Slots: 6, Started: 1788475289025, Versions: map[string]int64{"m": 3}}
	}
	for name, c := range map[string]struct {
		change func(*Instance)
		want   Defect
	}{
		"sound":                {func(*Instance) {}, ""},
		"IPv6":                 {func(i *Instance) { i.Address = "[::1]:8690" }, ""},
		"no start":             {func(i *Instance) { i.Started = 0 }, ""},
		"largest":              {func(i *Instance) { i.Slots, i.Started, i.Versions["m"] = maxSlots, MaxWireInteger, MaxWireInteger }, ""},
		"no failure domain":    {func(i *Instance) { i.FailureDomain = "" }, "name"},
		"no service":           {func(i *Instance) { i.Service = "" }, "name"},
		"no port":              {func(i *Instance) { i.Address = "10.0.0.1" }, "address"},
		"port 0":               {func(i *Instance) { i.Address = "10.0.0.1:0" }, "address"},
		"port out of range":    {func(i *Instance) { i.Address = "10.0.0.1:70000" }, "address"},
		"negative port":        {func(i *Instance) { i.Address = "10.0.0.1:-1" }, "address"},
		"port name":            {func(i *Instance) { i.Address = "10.0.0.1:http" }, "address"},
		"no host":              {func(i *Instance) { i.Address = ":8690" }, "address"},
		"no slots":             {func(i *Instance) { i.Slots = 0 }, "slots"},
		"negative slots":       {func(i *Instance) { i.Slots = math.MinInt }, "slots"},
		"slots that overflow":  {func(i *Instance) { i.Slots = math.MaxInt }, "slots"},
		"negative start":       {func(i *Instance) { i.Started = -1 }, "start"},
		"start that overflows": {func(i *Instance) { i.Started = math.MaxInt64 }, "start"},
		"negative version":     {func(i *Instance) { i.Versions["m"] = -1 }, "version"},
		"version that is last": {func(i *Instance) { i.Versions["m"] = math.MaxInt64 }, "version"},
	} {
		t.Run(name, func(t *testing.T) {
			i := sound()
			c.change(&i)
			if got := i.Defect(); got != c.want {
				t.Errorf("defect %q, want %q", got, c.want)
			}
		})
	}
}
