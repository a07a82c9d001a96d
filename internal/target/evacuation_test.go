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

// Guards against requests to upstreams of a failure domain that the operator evacuated.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"), newInstance("b", "y"))
	r.Evacuate("x")
	if got := usableIDs(r); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("usable upstreams: %v, want only b", got)
	}
	if e := r.Reserve(Criteria{Service: "desk", Domain: "x"}); e == nil || e.Info().ID != "b" {
		t.Error("the upstream of the other domain was not chosen")
	}
	r.Restore("x")
	if got := usableIDs(r); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("usable upstreams after the restore: %v, want a and b", got)
	}
}

// Guards against requests to an upstream of an evacuated failure domain because it was
// listed after the evacuation, or because all other upstreams are evacuated too.
func TestEvacuationAppliesToUpstreamsListedLater(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"))
	r.Evacuate("x")
	r.Evacuate("nowhere")
	r.Apply(ListedChange(newInstance("b", "x")))
	if got := usableIDs(r); len(got) != 0 {
		t.Errorf("usable upstreams: %v, want none", got)
	}
}

// Guards against an evacuation that outlives its row in the store. This happens when the
// deletion of the row is not among the changes that were read.
func TestReplaceEvacuatedEndsEvacuations(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"), newInstance("b", "y"))
	r.Evacuate("x")
	r.ReplaceEvacuated([]string{"y"})
	if got := usableIDs(r); !slices.Equal(got, []string{"a"}) {
		t.Errorf("usable upstreams: %v, want only a", got)
	}
}
