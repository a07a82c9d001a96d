package route

import (
	"slices"
	"testing"
	"testing/quick"
)

// Guards against sending data to a failure domain that one of two limits excludes.
func TestAndAppliesBothLimits(t *testing.T) {
	applied := func(a, b []string, domain string, limited bool) bool {
		one, other := NewResidency(a), Residency{}
		want := slices.Contains(a, domain)
		if limited {
			other = NewResidency(b)
			want = want && slices.Contains(b, domain)
		}
		return one.And(other).Allows(domain) == want && other.And(one).Allows(domain) == want
	}
	if err := quick.Check(applied, nil); err != nil {
		t.Error(err)
	}
	one := NewResidency([]string{"x", "y"})
	if r := one.And(NewResidency([]string{"y", "z"})); r.Allows("x") || r.Allows("z") || !r.Allows("y") {
		t.Errorf("both limits allow x %v, y %v, z %v", r.Allows("x"), r.Allows("y"), r.Allows("z"))
	}
	if got := one.And(NewResidency([]string{"z", "y"})).Domains(); !slices.Equal(got, []string{"y"}) || (Residency{}).Domains() != nil {
		t.Errorf("both limits together allow %v, want y alone", got)
	}
	if r := NewResidency(nil); !r.Limited() || r.Allows("x") {
		t.Error("an empty list of failure domains sets no limit or allows one")
	}
	if r := (Residency{}); r.Limited() || !r.Allows("x") {
		t.Error("the zero value is limited or excludes a failure domain")
	}
}
