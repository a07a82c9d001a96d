package route

import "slices"

// Residency says to which failure domains a request's data may go. The zero value sets no
// limit. It is immutable.
type Residency struct {
	// limits are lists of failure domains; each of them binds.
	limits [][]string
}

// ResideIn returns the residency in a list of failure domains; an empty list allows none.
func ResideIn(domains []string) Residency { return Residency{limits: [][]string{domains}} }

// And returns the residency under which both bind.
func (r Residency) And(other Residency) Residency {
	switch {
	case len(other.limits) == 0:
		return r
	case len(r.limits) == 0:
		return other
	}
	return Residency{limits: slices.Concat(r.limits, other.limits)}
}

// Limited reports whether any failure domain may be ruled out.
func (r Residency) Limited() bool { return len(r.limits) > 0 }

// Allows reports whether data may go to a failure domain.
func (r Residency) Allows(domain string) bool {
	for _, limit := range r.limits {
		if !slices.Contains(limit, domain) {
			return false
		}
	}
	return true
}
