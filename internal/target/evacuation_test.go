package target

import (
	"slices"
	"testing"
	"time"
)

func usableIDs(r *Roster) []string {
	var ids []string
	for _, e := range r.Usable("desk", time.Now()) {
		ids = append(ids, e.Info().ID)
	}
	return ids
}

// Guards against work for the upstreams of a failure domain that the operator evacuates.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	r := newTestRoster(up("a", "x"), up("b", "y"))
	r.Evacuate("x")
	if got := usableIDs(r); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("%v may get work", got)
	}
	if e := r.Reserve(Want{Service: "desk", Domain: "x"}); e == nil || e.Info().ID != "b" {
		t.Error("the upstream of the other domain was not chosen")
	}
	r.Restore("x")
	if got := usableIDs(r); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("after the return %v may get work", got)
	}
}

// Guards against an upstream of an evacuated failure domain that is used because it is
// listed anew, or because all others are evacuated too.
func TestEvacuationHoldsForUpstreamsThatComeLater(t *testing.T) {
	r := newTestRoster(up("a", "x"))
	r.Evacuate("x")
	r.Evacuate("nowhere")
	r.Apply(Listed(up("b", "x")))
	if got := usableIDs(r); len(got) != 0 {
		t.Errorf("%v may get work", got)
	}
}

// Guards against an evacuation that outlasts its row, because its end was not among the
// changes that were read.
func TestWholeReadEndsEvacuations(t *testing.T) {
	r := newTestRoster(up("a", "x"), up("b", "y"))
	r.Evacuate("x")
	r.ReplaceEvacuated([]string{"y"})
	if got := usableIDs(r); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v may get work", got)
	}
}
