package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/fault"
)

// A VM reads a new version some time after it was published. If the age counted
// from that read, a sample would look younger than it is and could be delivered
// past the bound in seconds.
func TestSupersessionUsesEarliestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &testWeights{version: 4, at: time.Now()}
		h := NewVersionHistory(weights)
		read := func() time.Time {
			began := time.Now()
			if err := h.Refresh(t.Context(), began); err != nil {
				t.Fatal(err)
			}
			return began
		}
		read()
		time.Sleep(10 * time.Second)
		before := read()
		time.Sleep(7 * time.Second)
		weights.publish()
		weights.publish()
		time.Sleep(3 * time.Second)
		read()
		if latest, known := h.Latest(testModel); latest != 6 || !known {
			t.Fatalf("latest is %d, %v", latest, known)
		}
		for _, version := range []int64{4, 5} {
			at, known := h.SupersededAt(testModel, version)
			if !known || !at.Equal(before) {
				t.Errorf("version %d was superseded at %v, %v, want %v", version, at, known, before)
			}
		}
		if _, known := h.SupersededAt(testModel, 6); known {
			t.Error("the newest version counts as superseded")
		}
		if _, known := h.SupersededAt(testModel, 2); known {
			t.Error("a version from before the VM's start counts as known")
		}
	})
}

// A read that began before a pull may miss a version that was published since.
// It must not be used for the pull, or a stale sample would be delivered.
func TestRefreshReadsAfterSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &testWeights{version: 1, at: time.Now()}
		h := NewVersionHistory(weights)
		if err := h.Refresh(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		weights.publish()
		if err := h.Refresh(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		if latest, _ := h.Latest(testModel); latest != 2 {
			t.Fatalf("latest is %d", latest)
		}
		weights.setDown(true)
		if err := h.Refresh(t.Context(), time.Now()); !fault.Is[*fault.StoreUnavailable](err) {
			t.Fatalf("an unavailable weight store gave %v", err)
		}
		if err := h.Refresh(t.Context(), time.Now().Add(-time.Second)); err != nil {
			t.Fatalf("a read that is recent enough gave %v", err)
		}
	})
}

// The weight store returns an older list after a newer one, as a lagging
// replica does. The history must not go back.
func TestHistoryNeverMovesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &testWeights{version: 3, at: time.Now()}
		h := NewVersionHistory(weights)
		for _, version := range []int64{3, 2} {
			weights.version = version
			if err := h.Refresh(context.Background(), time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		if latest, _ := h.Latest(testModel); latest != 3 {
			t.Fatalf("latest is %d", latest)
		}
	})
}
