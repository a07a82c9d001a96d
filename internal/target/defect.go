package target

import (
	"net"
	"strconv"
)

const (
	// maxSlots bounds the slots of an upstream. Sums over many upstreams with the largest number don't overflow.
	maxSlots = 1 << 20
	// MaxWireInteger bounds weight versions and times on the wire. Larger numbers are not exact in every JSON decoder, and a
	// version that is too large makes all real ones look stale.
	MaxWireInteger = 1 << 53
)

// Defect names the part of an entry in the list of upstreams that can't be right; empty if there is none.
type Defect string

// Defect returns what can't be right in an entry. Other writers may add entries to the list: one with a defect
// names no upstream to use. A start is not compared with this VM's clock: one that is wrong must not cost all upstreams.
func (i *Instance) Defect() Defect {
	switch {
	case i.ID == "" || i.Service == "" || i.FailureDomain == "":
		return "name"
	case !isAddress(i.Address):
		return "address"
	case i.Slots <= 0 || i.Slots > maxSlots:
		return "slots"
	case i.Started < 0 || i.Started > MaxWireInteger:
		return "start"
	}
	for _, version := range i.Versions {
		if version < 0 || version > MaxWireInteger {
			return "version"
		}
	}
	return ""
}

// isAddress reports whether a text is a host and a port.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	const portBits = 16
	number, err := strconv.ParseUint(port, 10, portBits)
	return err == nil && number > 0
}
