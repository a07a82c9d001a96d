package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// reportLoad notes the same load at all upstreams.
func reportLoad(f *Forwarder, load target.Load) {
	for _, e := range f.Roster.Upstreams("desk") {
		e.NoteLoad(load, time.Now())
	}
}

// Guards against hedges that double the load of upstreams which have no free slot.
func TestNoHedgeAtLoadedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{delay: 120 * time.Millisecond, status: http.StatusOK}}
		f := newForwarder(u)
		reportLoad(f, target.Load{Running: 4, Waiting: 1, Slots: 4})
		if _, err := f.Do(t.Context(), newCall(route.Idempotent, 2)); err != nil || u.sentCount() != 1 {
			t.Errorf("%d attempts, %v", u.sentCount(), err)
		}
	})
}

// Guards against hedges of every request at upstreams that are slower than the share of the
// objective after which requests were hedged.
func TestRequestIsNotLateAtUpstreamsUsualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{delay: 100 * time.Millisecond, status: http.StatusOK}}
		f := newForwarder(u)
		for _, e := range f.Roster.Upstreams("desk") {
			e.NoteAnswerTime(100*time.Millisecond, time.Now())
		}
		if _, err := f.Do(t.Context(), newCall(route.Idempotent, 2)); err != nil || u.sentCount() != 1 {
			t.Errorf("%d attempts, %v", u.sentCount(), err)
		}
	})
}

// Guards against requests that full upstreams pass from one to the next, and against full
// upstreams that count as failed.
func TestRefusalByFullUpstreamIsRepeatedOnlyAtSpareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstreams{fallback: fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}}
		f := newForwarder(u)
		reportLoad(f, target.Load{Running: 4, Waiting: 4, Slots: 4})
		_, err := f.Do(t.Context(), newCall(route.Idempotent, 2))
		if fault.ExecutionOf(err) != fault.NotRun || u.sentCount() != 1 {
			t.Errorf("%d attempts, %v", u.sentCount(), err)
		}
		for _, e := range f.Roster.Upstreams("desk") {
			if e.Suspect(time.Now()) {
				t.Errorf("%s is suspect", e.Info().ID)
			}
		}
	})
}
