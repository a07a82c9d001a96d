package dispatch

import "dogwoodpond/internal/contract"

// AccountID returns the short name of a client account in FlowDemand.
func AccountID(account contract.Account) uint32 { return hash32(string(account)) }

// ID returns the short name of the pool in FlowDemand.
func (p Pool) ID() uint32 { return p.hash() }

// engineID returns the short name of an engine in Member.Unreachable.
func engineID(upstream string) uint32 { return hash32("engine/" + upstream) }
