package dispatch

import "dogwoodpond/internal/contract"

// AccountID returns the hash that stands for a client account in FlowDemand.
func AccountID(account contract.Account) uint32 { return hash32(string(account)) }

// ID returns the hash that stands for the pool in FlowDemand.
func (p Pool) ID() uint32 { return p.hash() }

// engineHash returns the hash that stands for an engine in Member.Unreachable.
func engineHash(upstream string) uint32 { return hash32("engine/" + upstream) }
