package lease

import "strings"

// NameInDomain returns the name of the lease for a duty in one failure domain.
func NameInDomain(duty, domain string) string { return duty + "/" + domain }

// DomainOf returns the failure domain in the name of a lease, or "" when the name has
// none.
func DomainOf(name string) string {
	_, domain, _ := strings.Cut(name, "/")
	return domain
}
