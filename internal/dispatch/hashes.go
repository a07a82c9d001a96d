package dispatch

import "dogwoodpond/internal/contract"

// AccountHash returns the hash that stands for a client account in FlowDemand.
func AccountHash(account contract.Account) uint32 { return hash32(string(account)) }

// Hash returns the hash that stands for the pool in FlowDemand.
func (p Pool) Hash() uint32 { return p.hash() }

// engineHash returns the hash that stands for an engine in Member.Unreachable.
func engineHash(upstream string) uint32 { return hash32("engine/" + upstream) }
