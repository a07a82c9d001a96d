package route

import "slices"

// Residency limits the failure domains to which a request's data may be sent. The zero
// value sets no limit. It is immutable.
type Residency struct {
	// limits holds lists of failure domains. A domain must be in all of them.
	limits [][]string
}

// NewResidency returns the residency that allows the given failure domains; an empty list
// allows none.
func NewResidency(domains []string) Residency { return Residency{limits: [][]string{domains}} }

// And returns the residency that allows the failure domains that both allow.
func (r Residency) And(other Residency) Residency {
	switch {
	case len(other.limits) == 0:
		return r
	case len(r.limits) == 0:
		return other
	}
	return Residency{limits: slices.Concat(r.limits, other.limits)}
}

// Limited reports whether the residency sets any limit.
func (r Residency) Limited() bool { return len(r.limits) > 0 }

// Allows reports whether data may be sent to a failure domain.
func (r Residency) Allows(domain string) bool {
	for _, limit := range r.limits {
		if !slices.Contains(limit, domain) {
			return false
		}
	}
	return true
}

// Domains returns the failure domains that a limited residency allows, sorted. It is nil for
// a residency that sets no limit.
func (r Residency) Domains() []string {
	if !r.Limited() {
		return nil
	}
	allowed := slices.Clone(r.limits[0])
	allowed = slices.DeleteFunc(allowed, func(domain string) bool { return !r.Allows(domain) })
	slices.Sort(allowed)
	return slices.Compact(allowed)
}
